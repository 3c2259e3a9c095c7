#pragma once

// The baselines with one queue: first in first out, priority of short work, a cap on long
// work. They know from the route which work is long, learn nothing and refuse nothing.

#include "core/admission/queue_policy.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace camphorrock
{

// The route of long requests in the benches; all others are short.
bool is_long_route(const route_class& route);

struct simple_queue_options
{
    std::size_t slots = 3;
    bool short_first = false;
    std::size_t max_long = 1000; // in flight
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

    void start_allowed(queue_actions& out);
    void release(ticket id);

    simple_queue_options options_;
    std::deque<waiting_request> short_line_; // all requests where none go first
    std::deque<waiting_request> long_line_;
    std::unordered_map<ticket, bool> started_; // whether each is long
    std::size_t long_started_ = 0;
};

} // namespace camphorrock
