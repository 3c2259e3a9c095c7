#pragma once

// The baseline without a scheduling router: several routers send to the server directly.
// Each has its own first-in-first-out queue and its own limit, and they share no state.
// Requests are distributed to the routers round-robin, by ticket number.

#include "bench/queue/simple_queue.hpp"

#include <vector>

namespace camphorrock
{

class direct_queue final : public queue_policy
{
public:
    direct_queue(std::size_t routers, simple_queue_options options);

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
    simple_queue& queue_of(ticket id);

    std::vector<simple_queue> router_queues_;
};

} // namespace camphorrock
