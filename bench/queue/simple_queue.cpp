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
    const bool apart = options_.short_first && is_long;
    (apart ? long_line_ : short_line_).push_back({request.id, is_long});
    start_allowed(out);
}

void simple_queue::finished(ticket id,
                            const service_report&,
                            time_point,
                            queue_actions& out)
{
    release(id);
    start_allowed(out);
}

void simple_queue::cancelled(ticket id, time_point, queue_actions& out)
{
    const auto same = [&](const waiting_request& it)
    {
        return it.id == id;
    };
    std::erase_if(short_line_, same);
    std::erase_if(long_line_, same);
    release(id);
    start_allowed(out);
}

void simple_queue::slots_changed(std::size_t slots, time_point, queue_actions& out)
{
    options_.slots = slots;
    start_allowed(out);
}

void simple_queue::tick(time_point, queue_actions& out)
{
    start_allowed(out);
}

std::optional<time_point> simple_queue::next_tick() const
{
    return std::nullopt;
}

std::size_t simple_queue::waiting() const
{
    return short_line_.size() + long_line_.size();
}

std::size_t simple_queue::in_flight() const
{
    return started_.size();
}

void simple_queue::start_allowed(queue_actions& out)
{
    while (started_.size() < options_.slots)
    {
        const bool long_allowed = long_started_ < options_.max_long;
        std::deque<waiting_request>& from =
            short_line_.empty() && long_allowed ? long_line_ : short_line_;
        if (from.empty())
        {
            return;
        }
        const waiting_request next = from.front();
        from.pop_front();
        started_.emplace(next.id, next.is_long);
        long_started_ += next.is_long ? 1 : 0;
        out.emplace_back(start_request{next.id});
    }
}

void simple_queue::release(ticket id)
{
    const auto it = started_.find(id);
    if (it != started_.end())
    {
        long_started_ -= it->second ? 1 : 0;
        started_.erase(it);
    }
}

} // namespace camphorrock
