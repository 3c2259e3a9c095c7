#pragma once

// Gateways with clients that send one request after another to the servers of a service,
// in virtual time. The gateways decide by their pools and by latency_limit(), and report
// their requests in flight to one another.
//
//     latency_simulation it({.gateways = 9, .clients = 40});
//     const latency_counts got = it.run(seconds(60));

#include "core/gateway/fleet/testing/event_queue.hpp"
#include "core/gateway/servers/server_pool.hpp"

#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace camphorrock::testing
{

struct latency_options
{
    unsigned gateways = 1;
    unsigned clients = 4; // spread over the gateways
    unsigned servers = 4;
    unsigned slots = 3;
    unsigned queue_length = 12;
    duration work = milliseconds(100);
    duration target = milliseconds(500);
    duration time_limit = seconds(2);            // of each request
    duration refusal_wait = milliseconds(500);   // of a client, until it sends again
    duration report_interval = milliseconds(50); // of the gateways
};

// What became of requests.
struct latency_counts
{
    unsigned answered = 0;
    unsigned refused = 0; // by a gateway, at once
    unsigned stale = 0;   // of those, by an estimate that is_stale()
    unsigned shed = 0;    // by a server without room
    unsigned timed_out = 0;
};

class latency_simulation
{
public:
    explicit latency_simulation(const latency_options& options);

    // Returns what became of requests within the span.
    latency_counts run(duration span);

    // Of the requests that start from now on.
    void set_work(duration work)
    {
        options_.work = work;
    }

private:
    struct attempt
    {
        unsigned client = 0;
        server_choice to;
        time_point sent_at{};
        bool is_running = false;
        bool is_ended = false;
    };

    using attempt_ptr = std::shared_ptr<attempt>;

    struct server
    {
        known_server entry;
        unsigned running = 0;
        std::deque<attempt_ptr> waiting;
    };

    server_pool& pool_of(unsigned client)
    {
        return pools_[client % pools_.size()];
    }

    server& server_of(const attempt& it);
    void send(unsigned client);
    void send_after(unsigned client, duration span);
    void arrive(const attempt_ptr& it);
    void start(const attempt_ptr& it);
    void answer(const attempt_ptr& it);
    void time_out(const attempt_ptr& it);
    void start_waiting(server& at);
    void end(attempt& it, attempt_end how);
    void exchange_reports();

    latency_options options_;
    event_queue events_{time_point(seconds(1000))};
    std::vector<server_pool> pools_; // one for each gateway
    std::vector<server> servers_;
    std::minstd_rand random_{7};
    latency_counts counts_;
};

} // namespace camphorrock::testing
