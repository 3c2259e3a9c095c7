#pragma once

// A simulation of a fleet of gateways whose links to the servers are cut: the
// link_monitor and peer_choice of each gateway, attempts that hang, are refused or are
// lost, and requests that go by another gateway. Counts the first tries that are served,
// at gateways that are cut off and at the others, and how often requests ran.

#include "core/gateway/fleet/testing/event_queue.hpp"
#include "core/gateway/links/link_monitor.hpp"
#include "core/gateway/links/peer_choice.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace camphorrock::testing
{

enum class simulated_cut
{
    hang,       // nothing arrives in either direction
    reset,      // connections are reset, and new ones are refused
    refuse_new, // connections that were kept live on, new ones are refused
};

struct link_simulation_options
{
    unsigned gateways = 9;
    unsigned zones = 4;
    double rate = 25;                        // requests a second at each gateway
    double repeatable_fraction = 0.8;        // of the requests
    double kept_fraction = 0.8;              // of the attempts, on kept connections
    double lost_connect_fraction = 0;        // of new connections, which then hang
    double lost_notice_fraction = 0.05;      // of the gateways' notices to each other
    bool is_forwarding = true;               // false: what cannot be reached is refused
    duration work = milliseconds(80);        // mean of a request
    duration time_limit = milliseconds(800); // of a client
    unsigned seed = 1;
};

// What became of the first tries at some gateways.
struct link_counts
{
    unsigned sent = 0;
    unsigned served = 0;
    unsigned refused = 0;            // as not run
    unsigned unknown = 0;            // given up, and may have run
    std::vector<duration> latencies; // of the served ones
};

// The median of what was served; zero if nothing was.
duration median_latency(const link_counts& of);

class link_simulation
{
public:
    explicit link_simulation(link_simulation_options options);

    void run(duration span)
    {
        events_.run(span);
    }

    // Cuts the links of the first `n` gateways to all servers.
    void cut(unsigned n, simulated_cut how);

    void heal();

    // Runs for the span, counts what arrives meanwhile, and goes on until all of that has
    // ended. Forgets what was counted before.
    void count(duration span);

    const link_counts& cut_off() const
    {
        return cut_off_;
    }
    const link_counts& others() const
    {
        return others_;
    }

    // Unrepeatable requests that ran twice, or ran and were answered as not run.
    unsigned broken() const
    {
        return broken_;
    }

    // Of the fleet, since the start: gateways that took their links for lost, and those
    // of them whose links were not cut.
    unsigned losses() const
    {
        return losses_;
    }
    unsigned false_losses() const
    {
        return false_losses_;
    }

    // Messages between gateways in the last count.
    unsigned notices() const
    {
        return notices_;
    }

    // Connections that were opened to probe servers.
    unsigned probes() const
    {
        return probes_;
    }

    // Attempts at servers by the busiest gateway in the last count, and the mean of the
    // others.
    unsigned most_attempts() const;
    double mean_attempts() const;

    // Gateways whose links count as lost now.
    unsigned lost_now() const;

    // From the cut until the last of the cut gateways noticed.
    duration last_noticed_after() const
    {
        return last_noticed_after_;
    }

private:
    using request_number = std::uint64_t;

    struct gateway
    {
        fleet_gateway entry;
        link_monitor monitor;
        peer_choice peers;
        bool is_cut = false;
        unsigned attempts = 0;               // at servers, in the last count
        std::vector<request_number> waiting; // until the links are known
    };

    struct request
    {
        unsigned origin = 0;
        unsigned at = 0; // the gateway that has it
        std::optional<endpoint> peer;
        std::vector<endpoint> tried_peers;
        time_point arrived{};
        time_point deadline{};
        bool is_repeatable = true;
        bool is_counted = false;
        bool is_cut_off = false; // arrived at a gateway that was cut off
        bool may_have_run = false;
        unsigned runs = 0;
        unsigned failed_connects = 0;
        std::uint64_t attempt = 0; // in flight at a server; 0: none
    };

    void schedule_arrival(unsigned g);
    void schedule_check(unsigned g);
    void on_arrival(unsigned g);
    void try_send(request_number n);
    void send_direct(request_number n);
    void run_at_server(request_number n, std::uint64_t attempt);
    void fail_connect(request_number n, std::uint64_t attempt, duration after);
    void end_attempt(request_number n, attempt_evidence evidence);
    void go_by_peer(request_number n);
    void decline(request_number n);
    void on_links_lost(unsigned g);
    void tell_all(unsigned g, bool is_cut_off);
    void on_deadline(request_number n);
    void answer(request_number n, unsigned link_counts::*as);
    void update(unsigned g, link_state before);
    void start_round(unsigned g, unsigned probes);
    bool is_connect_lost();
    request* find(request_number n);
    link_counts& counts_of(const request& it);
    duration round_trip();
    double draw();

    link_simulation_options options_;
    std::mt19937_64 random_;
    std::minstd_rand choices_;
    event_queue events_{time_point(seconds(1000))};
    std::vector<gateway> gateways_;
    std::map<endpoint, unsigned> index_of_;
    std::map<request_number, request> requests_;
    std::uint64_t last_number_ = 0;
    std::uint64_t last_attempt_ = 0;
    simulated_cut how_ = simulated_cut::hang;
    time_point cut_at_{};
    bool is_counting_ = false;
    link_counts cut_off_;
    link_counts others_;
    unsigned broken_ = 0;
    unsigned losses_ = 0;
    unsigned false_losses_ = 0;
    unsigned probes_ = 0;
    unsigned notices_ = 0;
    duration last_noticed_after_{};
};

} // namespace camphorrock::testing
