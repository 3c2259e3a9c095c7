#include "bench/queue/simple_queue.hpp"

namespace camphorrock
{

bool is_long_route(const route_class& route)
{
    return route.str() == "report";
}

simple_queue::simple_queue(simple_queue_options options) : options_(options) {}

void simple_queue::arrive(const queued_request& request, time_point, queue_actions& out)
{
    const bool is_long = is_long_route(request.route);
    const bool is_queued_separately = options_.prioritizes_short && is_long;
    (is_queued_separately ? long_queue_ : short_queue_).push_back({request.id, is_long});
    start_waiting_requests(out);
}

void simple_queue::finished(ticket id,
                            const service_report&,
                            time_point,
                            queue_actions& out)
{
    release_slot(id);
    start_waiting_requests(out);
}

void simple_queue::cancelled(ticket id, time_point, queue_actions& out)
{
    const auto has_ticket = [&](const waiting_request& it)
    {
        return it.id == id;
    };
    std::erase_if(short_queue_, has_ticket);
    std::erase_if(long_queue_, has_ticket);
    release_slot(id);
    start_waiting_requests(out);
}

void simple_queue::slots_changed(std::size_t slots, time_point, queue_actions& out)
{
    options_.slots = slots;
    start_waiting_requests(out);
}

void simple_queue::tick(time_point, queue_actions& out)
{
    start_waiting_requests(out);
}

std::optional<time_point> simple_queue::next_tick() const
{
    return std::nullopt;
}

std::size_t simple_queue::waiting() const
{
    return short_queue_.size() + long_queue_.size();
}

std::size_t simple_queue::in_flight() const
{
    return in_flight_.size();
}

void simple_queue::start_waiting_requests(queue_actions& out)
{
    while (in_flight_.size() < options_.slots)
    {
        const bool may_start_long = long_in_flight_ < options_.max_long_in_flight;
        std::deque<waiting_request>& source =
            short_queue_.empty() && may_start_long ? long_queue_ : short_queue_;
        if (source.empty())
        {
            return;
        }
        const waiting_request next = source.front();
        source.pop_front();
        in_flight_.emplace(next.id, next.is_long);
        long_in_flight_ += next.is_long ? 1 : 0;
        out.emplace_back(start_request{next.id});
    }
}

void simple_queue::release_slot(ticket id)
{
    const auto it = in_flight_.find(id);
    if (it != in_flight_.end())
    {
        long_in_flight_ -= it->second ? 1 : 0;
        in_flight_.erase(it);
    }
}

} // namespace camphorrock
