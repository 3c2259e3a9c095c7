#include "bench/queue/direct_queue.hpp"

namespace camphorrock
{

direct_queue::direct_queue(std::size_t routers, simple_queue_options options)
    : router_queues_(routers, simple_queue(options))
{
}

void direct_queue::arrive(const queued_request& request,
                          time_point now,
                          queue_actions& out)
{
    queue_of(request.id).arrive(request, now, out);
}

void direct_queue::finished(ticket id,
                            const service_report& report,
                            time_point now,
                            queue_actions& out)
{
    queue_of(id).finished(id, report, now, out);
}

void direct_queue::cancelled(ticket id, time_point now, queue_actions& out)
{
    queue_of(id).cancelled(id, now, out);
}

// The limit of a router is fixed and does not follow the slots of the server.
void direct_queue::slots_changed(std::size_t, time_point, queue_actions&) {}

void direct_queue::tick(time_point, queue_actions&) {}

std::optional<time_point> direct_queue::next_tick() const
{
    return std::nullopt;
}

std::size_t direct_queue::waiting() const
{
    std::size_t sum = 0;
    for (const simple_queue& it : router_queues_)
    {
        sum += it.waiting();
    }
    return sum;
}

std::size_t direct_queue::in_flight() const
{
    std::size_t sum = 0;
    for (const simple_queue& it : router_queues_)
    {
        sum += it.in_flight();
    }
    return sum;
}

simple_queue& direct_queue::queue_of(ticket id)
{
    return router_queues_[id.value % router_queues_.size()];
}

} // namespace camphorrock
