#pragma once

// Gateways in groups that send requests to servers of different speeds, whose instances
// are slow at times, in virtual time. The servers report their load, or not, or falsely.
// The arrivals, the work of each request and the slow times depend on the seed alone, so
// that runs with other options meet the same load.
//
//     report_simulation it({.reports = report_kind::honest});
//     const report_counts got = it.run(seconds(60));

#include "core/gateway/fleet/testing/event_queue.hpp"
#include "core/gateway/servers/server_pool.hpp"

#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace camphorrock::testing
{

enum class report_kind
{
    none,
    honest,
    empty,      // always 0 requests
    full,       // always as many requests as it can hold
    huge,       // always the largest figures
    very_slow,  // always the largest slowness
    very_quick, // always the smallest slowness
    random,     // another random figure in each answer
};

enum class dispatch
{
    pools,       // each gateway by its own pool
    single_queue // one queue that knows all speeds, also the coming slow times
};

struct report_options
{
    report_kind reports = report_kind::none;
    unsigned reporters_of_3 = 3; // of 3 servers in rotation, those that report
    dispatch by = dispatch::pools;
    unsigned gateways = 60;
    unsigned groups = 4;
    unsigned servers = 52;
    unsigned slots = 3;
    unsigned queue_length = 12;
    double per_second = 457;           // requests, of all gateways
    duration work = milliseconds(160); // mean, at speed 1
    duration report_interval = milliseconds(50);
    unsigned seed = 7;
};

struct report_counts
{
    unsigned answered = 0;
    unsigned shed = 0;       // by a server without room; each is sent again
    double mean_ms = 0;      // from arrival to answer
    unsigned lost_trust = 0; // servers whose reports lost their trust, over all gateways
};

class report_simulation
{
public:
    explicit report_simulation(const report_options& options);

    // Returns what became of the requests that arrived within the span.
    report_counts run(duration span);

private:
    struct attempt
    {
        unsigned gateway = 0;
        time_point arrived_at{};
        time_point sent_at{};
        double work_us = 0;
        server_choice to;
        std::vector<server_id> tried;
    };

    using attempt_ptr = std::shared_ptr<attempt>;

    struct server
    {
        known_server entry;
        double speed = 1;
        duration slow_offset{};
        unsigned running = 0;
        std::deque<attempt_ptr> waiting;
    };

    bool is_slow(const server& at, time_point when) const;
    duration time_for(const server& at, double work_us) const;
    server_load load_of(const server& at);
    bool reports_load(const server& at) const;
    void arrive();
    void send(const attempt_ptr& it);
    void start(server& at, const attempt_ptr& it);
    void answer(server& at, const attempt_ptr& it);
    void shed(server& at, const attempt_ptr& it);
    void report_to(server_pool& pool, server& at);
    void dispatch_queue();
    void exchange();
    unsigned group_of(unsigned gateway) const
    {
        return gateway % options_.groups;
    }

    report_options options_;
    event_queue events_{time_point(seconds(1000))};
    std::vector<server_pool> pools_;
    std::vector<server> servers_;
    std::deque<attempt_ptr> queue_; // of the single queue
    std::minstd_rand arrivals_;     // arrivals and work only
    std::minstd_rand choices_{11};
    std::uint64_t exchanges_ = 0;
    report_counts counts_;
    double sum_ms_ = 0;
};

} // namespace camphorrock::testing
