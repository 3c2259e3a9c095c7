#include "bench/queue/scripted_server.hpp"

#include "bench/queue/workload.hpp"

namespace camphorrock
{

scripted_server::scripted_server(const queue_scenario& scenario) : scenario_(scenario) {}

bool scripted_server::offer(ticket id,
                            duration service,
                            time_point now,
                            std::vector<begun_work>& begun)
{
    const server_phase& as = phase(now);
    if (as.sheds_excess && running_.size() >= as.real_slots)
    {
        return false;
    }
    backlog_.push_back({id, service});
    advance(now, begun);
    return true;
}

void scripted_server::leave(ticket id, time_point now, std::vector<begun_work>& begun)
{
    if (running_.erase(id) == 0)
    {
        std::erase_if(backlog_, [&](const pending_work& it) { return it.id == id; });
    }
    advance(now, begun);
}

void scripted_server::advance(time_point now, std::vector<begun_work>& begun)
{
    const server_phase& as = phase(now);
    while (!as.frozen && running_.size() < as.real_slots && !backlog_.empty())
    {
        const pending_work next = backlog_.front();
        backlog_.pop_front();
        const double us = static_cast<double>(next.service.count()) * as.slowdown;
        running_.insert(next.id);
        begun.push_back({next.id, now, now + duration(static_cast<duration::rep>(us))});
    }
}

const server_phase& scripted_server::phase(time_point now) const
{
    return phase_at(scenario_.server, now.time_since_epoch());
}

} // namespace camphorrock
