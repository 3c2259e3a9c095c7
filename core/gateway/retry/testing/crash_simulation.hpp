#pragma once

// A simulation of a fleet of gateways and the servers of one service, of which some crash
// under some requests: the crash_exchange of each gateway, a network that delays and
// loses messages, gateways that are cut off, silent or restart. Counts the crashes under
// each request, and the requests that were refused.

#include "core/gateway/fleet/testing/event_queue.hpp"
#include "core/gateway/retry/crash_exchange.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace camphorrock::testing
{

struct crash_simulation_options
{
    unsigned gateways = 10;
    unsigned servers = 8;
    double good_rate = 100; // requests a second, each with a body of its own
    double hot_rate = 0;    // of one good request that all clients send
    double bad_rate = 0;    // of one request that crashes each server
    bool is_bad_repeatable = true;
    bool is_protected = true;           // false: no exchange is used
    bool is_shared = true;              // false: each gateway learns for itself
    double lost_fraction = 0;           // of the messages
    double cut_fraction = 0;            // of the answers, without a crash
    duration work = milliseconds(80);   // of a request; a bad one crashes at its end
    duration restart_time = seconds(3); // of a server
    unsigned max_attempts = 2;
    unsigned seed = 1;
};

// What became of the requests of one kind.
struct request_counts
{
    unsigned sent = 0;
    unsigned answered = 0;
    unsigned condemned = 0; // refused as one that crashes servers
    unsigned suspected = 0; // refused since another attempt of it ran
    unsigned failed = 0;    // in any other way
};

class crash_simulation
{
public:
    explicit crash_simulation(crash_simulation_options options);

    void run(duration span)
    {
        events_.run(span);
    }

    // That many servers crash at once, not under a request.
    void lose_servers(unsigned n);

    // The gateway neither sends nor receives datagrams for `span`.
    void silence(unsigned gateway, duration span);

    // The gateway starts anew.
    void restart(unsigned gateway);

    // For `span`, no datagram passes between the first `size` gateways and the others.
    void cut(unsigned size, duration span);

    void set_rates(double good, double hot, double bad);

    // The index of the gateway that counts for the service.
    unsigned counting_gateway() const;

    // Servers that the bad request has ended, and those of them later than 3 s after the
    // third.
    unsigned bad_crashes() const
    {
        return static_cast<unsigned>(bad_crashes_.size());
    }
    unsigned late_bad_crashes() const;

    const request_counts& good() const
    {
        return good_;
    }
    const request_counts& hot() const
    {
        return hot_;
    }
    const request_counts& bad() const
    {
        return bad_;
    }

    unsigned messages() const
    {
        return messages_;
    }

private:
    enum class request_kind
    {
        good,
        hot,
        bad,
    };

    struct gateway
    {
        crash_exchange exchange;
        endpoint address;
        time_point silent_until{};
    };

    struct server
    {
        server_id id;
        bool is_up = true;
    };

    struct request
    {
        request_kind kind = request_kind::good;
        request_fingerprint fingerprint;
        unsigned gateway = 0;
        unsigned attempts = 0;
        unsigned server = 0; // of the current attempt
        time_point started_at{};
        std::optional<trial_id> trial; // granted
        std::optional<time_point> wait_end;
        std::vector<unsigned> busy; // servers that run other suspects
    };

    using request_number = std::uint64_t;

    void schedule_arrivals(request_kind kind);
    void on_arrival(request_kind kind);
    void try_send(request_number n);
    std::optional<unsigned> choose_server(const request& it);
    void ask(request_number n, unsigned server);
    void on_answer(request_number n, unsigned server, trial_answer answer);
    void wait(request_number n);
    void start(request_number n, unsigned server);
    void on_run_end(request_number n);
    void end_attempt(request_number n, trial_end end);
    void crash(unsigned server);
    void on_lost(request_number n, bool is_crash);
    void finish(request_number n, unsigned request_counts::*as);
    void flush(unsigned of);
    void deliver(unsigned from, const outgoing_crash_message& sent);
    void schedule_tick(unsigned of);
    std::vector<fleet_gateway> fleet() const;
    request_counts& counts_of(request_kind kind);
    double draw();

    crash_simulation_options options_;
    service_name service_{"service"};
    std::mt19937_64 random_;
    event_queue events_{time_point(seconds(1000))};
    std::vector<gateway> gateways_;
    std::vector<server> servers_;
    std::map<request_number, request> requests_;
    std::map<trial_id, std::pair<request_number, unsigned>> asked_; // and the server
    std::uint64_t last_number_ = 0;
    std::uint64_t arrivals_generation_ = 0;
    request_counts good_;
    request_counts hot_;
    request_counts bad_;
    std::vector<time_point> bad_crashes_;
    unsigned messages_ = 0;
    unsigned cut_size_ = 0;
    time_point cut_until_{};
};

} // namespace camphorrock::testing
