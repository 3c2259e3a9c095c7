#include "core/assignment/router_table.hpp"

#include <algorithm>

namespace camphorrock
{

void router_table::listed(const std::vector<router_instance>& routers, time_point now)
{
    for (auto& [id, it] : routers_)
    {
        it.is_listed = false;
    }
    for (const router_instance& it : routers)
    {
        router_state& state = routers_[it.id];
        state.is_listed = true;
        state.is_listed_as_leaving = it.is_leaving;
        state.instance = it;
    }
    std::erase_if(routers_,
                  [&](const auto& it)
                  { return !it.second.is_listed && !is_reporting(it.first, now); });
}

void router_table::reported(const router_instance& router,
                            const shard_report& report,
                            time_point now)
{
    router_state& state = routers_[router.id];
    state.instance = router;
    state.reported_at = now;
    state.report = report;
}

bool router_table::is_reporting(const instance_id& id, time_point now) const
{
    const router_state* state = find(id);
    return state && state->reported_at && now < *state->reported_at + report_timeout_;
}

bool router_table::is_usable(const instance_id& id, time_point now) const
{
    if (!is_reporting(id, now))
    {
        return false;
    }
    const router_state* state = find(id);
    return !state->is_listed_as_leaving && !state->report.is_leaving;
}

bool router_table::is_unresponsive_for(const instance_id& id,
                                       duration timeout,
                                       time_point now) const
{
    const router_state* state = find(id);
    time_point unresponsive_since = timeouts_restarted_at_;
    if (state && state->reported_at)
    {
        unresponsive_since = std::max(unresponsive_since, *state->reported_at);
    }
    return unresponsive_since + timeout <= now;
}

server_condition router_table::condition_of(const server_entry& server,
                                            time_point now) const
{
    const router_state* state = find(server.scheduler);
    if (!state || !is_reporting(server.scheduler, now) ||
        state->report.version < server.since)
    {
        return server_condition::unknown;
    }
    for (const server_observation& it : state->report.servers)
    {
        if (it.id == server.id)
        {
            return it.condition;
        }
    }
    return server_condition::unknown;
}

bool router_table::is_released(const instance_id& scheduler,
                               const partition_entry& partition) const
{
    const router_state* state = find(scheduler);
    if (!state)
    {
        return false;
    }
    const std::vector<granted_partition>& released = state->report.released;
    return std::find(released.begin(),
                     released.end(),
                     granted_partition{partition.range, partition.since}) !=
           released.end();
}

std::vector<router_instance> router_table::usable_routers(time_point now) const
{
    std::vector<router_instance> list;
    for (const auto& [id, it] : routers_)
    {
        if (is_usable(id, now))
        {
            list.push_back(it.instance);
        }
    }
    return list;
}

const router_state* router_table::find(const instance_id& id) const
{
    auto it = routers_.find(id);
    return it == routers_.end() ? nullptr : &it->second;
}

} // namespace camphorrock
