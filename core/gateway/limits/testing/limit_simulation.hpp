#pragma once

// A simulation of a fleet of gateways that send requests to one server with a rate limit:
// the token_exchange of each gateway, a network that delays, loses and repeats messages,
// and gateways that are silent or restart. Records each arrival at the server.

#include "core/gateway/fleet/testing/event_queue.hpp"
#include "core/gateway/limits/token_exchange.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace camphorrock::testing
{

struct limit_simulation_options
{
    unsigned gateways = 10;
    double limit = 3.1;       // requests a second
    double demand = 15;       // requests a second that clients send, in the whole fleet
    double first_share = 0;   // of the demand, that the first gateway gets; the others
                              // share the rest
    double lost_fraction = 0; // of the messages
    double repeated_fraction = 0;
    duration max_wait = milliseconds(250); // of a request for its token
    // When the limit falls, tokens that were asked for before are given back unused.
    bool voids_lowered = false;
    unsigned seed = 1;
};

class limit_simulation
{
public:
    explicit limit_simulation(limit_simulation_options options);

    void run(duration span)
    {
        events_.run(span);
    }

    // The gateway neither sends nor receives for `span`, as if it were frozen.
    void freeze(unsigned gateway, duration span);

    // The gateway starts anew and knows the fleet again after `span`.
    void restart(unsigned gateway, duration span);

    // For `span`, no message passes between the first `size` gateways and the others.
    void cut(unsigned size, duration span);

    // The gateways know only those of the fleet for which `is_known` is true.
    void set_fleet(const std::function<bool(unsigned)>& is_known);

    // No gateway knows the fleet, as if all had just started.
    void forget_fleet();

    void set_limit(double limit);

    // The index of the gateway that counts for the server.
    unsigned counting_gateway() const;

    time_point now() const
    {
        return events_.now();
    }

    const std::vector<time_point>& arrivals() const
    {
        return arrivals_;
    }

    // The most arrivals in any span of 4 s that begins at `from` or later.
    std::size_t worst_window(time_point from = {}) const;

    // Arrivals from `from` on as a fraction of what the limit allows.
    double used_fraction(time_point from) const;

    // Messages of the whole fleet, for each second that was run.
    double messages_per_second() const;

    // Of the requests that arrived, from the question for a token on.
    double mean_wait_ms() const;

    // Requests that neither arrived nor were refused, nor wait for a token that is due.
    std::size_t undecided() const;

private:
    struct gateway
    {
        token_exchange exchange;
        endpoint address;
        time_point silent_until{};
        time_point refused_until{}; // no token is due before
    };

    void schedule_demand();
    void on_request(unsigned to);
    void flush(unsigned of);
    void deliver(unsigned from, const outgoing_limit_message& sent);
    void schedule_tick(unsigned of);
    void send(unsigned of, token_id id);
    void give_back(unsigned of);
    std::vector<fleet_gateway> fleet() const;
    double draw();

    limit_simulation_options options_;
    server_id server_{"limited"};
    std::mt19937_64 random_;
    std::minstd_rand exchange_random_;
    event_queue events_{time_point(seconds(1000))};
    time_point started_at_ = events_.now();
    std::vector<gateway> gateways_;
    std::uint64_t last_token_ = 0;
    struct waiting_request
    {
        unsigned gateway = 0;
        time_point since{};
        double limit = 0; // when the token was asked for
    };

    std::map<token_id, waiting_request> waiting_;
    // The gateways of the tokens that are granted and not used yet.
    std::map<token_id, unsigned> unused_;
    duration waits_{}; // of those that were granted a token
    std::size_t granted_ = 0;
    std::vector<time_point> arrivals_;
    std::size_t messages_ = 0;
    unsigned cut_size_ = 0; // of the part that is cut off
    time_point cut_until_{};
};

} // namespace camphorrock::testing
