#pragma once

// The baselines with a single queue: first in, first out, priority for short requests, or
// a cap on long ones. They recognize long requests by the route, learn no service times
// and refuse no request.

#include "core/admission/queue_policy.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace camphorrock
{

// Whether the route is that of long requests in the benchmarks. All others are short.
bool is_long_route(const route_class& route);

struct simple_queue_options
{
    std::size_t slots = 3;
    bool prioritizes_short = false; // starts short requests before long ones
    std::size_t max_long_in_flight = 1000;
};

class simple_queue final : public queue_policy
{
public:
    explicit simple_queue(simple_queue_options options);

    void
    arrive(const queued_request& request, time_point now, queue_actions& out) override;
    void finished(ticket id,
                  const service_report& report,
                  time_point now,
                  queue_actions& out) override;
    void cancelled(ticket id, time_point now, queue_actions& out) override;
    void slots_changed(std::size_t slots, time_point now, queue_actions& out) override;
    void tick(time_point now, queue_actions& out) override;
    std::optional<time_point> next_tick() const override;
    std::size_t waiting() const override;
    std::size_t in_flight() const override;

private:
    struct waiting_request
    {
        ticket id;
        bool is_long = false;
    };

    void start_waiting_requests(queue_actions& out);
    void release_slot(ticket id);

    simple_queue_options options_;
    std::deque<waiting_request> short_queue_; // all requests, unless prioritizes_short
    std::deque<waiting_request> long_queue_;
    std::unordered_map<ticket, bool> in_flight_; // true: a long request
    std::size_t long_in_flight_ = 0;
};

} // namespace camphorrock
