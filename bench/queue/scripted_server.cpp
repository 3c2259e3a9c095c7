#include "bench/queue/scripted_server.hpp"

#include "bench/queue/workload.hpp"

namespace camphorrock
{

scripted_server::scripted_server(const queue_scenario& scenario) : scenario_(scenario) {}

bool scripted_server::offer(ticket id,
                            duration service_time,
                            time_point now,
                            std::vector<begun_work>& begun)
{
    const server_phase& phase = current_phase(now);
    if (phase.sheds_excess && running_.size() >= phase.actual_slots)
    {
        return false;
    }
    backlog_.push_back({id, service_time});
    advance(now, begun);
    return true;
}

void scripted_server::remove(ticket id, time_point now, std::vector<begun_work>& begun)
{
    if (running_.erase(id) == 0)
    {
        std::erase_if(backlog_, [&](const pending_work& it) { return it.id == id; });
    }
    advance(now, begun);
}

void scripted_server::advance(time_point now, std::vector<begun_work>& begun)
{
    const server_phase& phase = current_phase(now);
    while (!phase.is_frozen && running_.size() < phase.actual_slots && !backlog_.empty())
    {
        const pending_work next = backlog_.front();
        backlog_.pop_front();
        const double service_us =
            static_cast<double>(next.service_time.count()) * phase.slowdown;
        running_.insert(next.id);
        begun.push_back(
            {next.id, now, now + duration(static_cast<duration::rep>(service_us))});
    }
}

const server_phase& scripted_server::current_phase(time_point now) const
{
    return phase_at(scenario_.server_phases, now.time_since_epoch());
}

} // namespace camphorrock
