// Assigns schedulers to servers.

#include "core/assignment/placement.hpp"
#include "core/assignment/shard_planner.hpp"

#include <algorithm>

namespace camphorrock
{

// Sets the schedulers of servers that have none, or whose scheduler is lost, leaving, or
// suspected of being cut off from its servers.
void shard_planner::plan_schedulers()
{
    std::erase_if(memory_.suspected_schedulers,
                  [&](const auto& it)
                  {
                      const server_entry* server = find_server(next_, it.first);
                      return !server || view_.routers.condition_of(*server, view_.now) ==
                                            server_condition::alive;
                  });
    for (server_entry& it : next_.servers)
    {
        plan_scheduler(it);
    }
    spread_schedulers();
}

void shard_planner::plan_scheduler(server_entry& server)
{
    bool is_suspected = is_suspected_scheduler(server);
    if (!needs_scheduler(server) && !is_suspected)
    {
        return;
    }
    std::optional<router_instance> router = choose_other_scheduler(server);
    if (!router)
    {
        return;
    }
    if (server.checks_epoch || has_released_all(server.id))
    {
        if (is_suspected)
        {
            memory_.suspected_schedulers[server.id] = server.scheduler;
        }
        set_scheduler(server,
                      *router,
                      is_suspected ? "cut off from its servers" : "lost or leaving");
        return;
    }
    bool is_scheduler_lost = !view_.routers.is_reporting(server.scheduler, view_.now);
    for (partition_entry& it : next_.partitions)
    {
        bool may_start =
            it.moving_to.empty() && (is_scheduler_lost || is_ready_to_move(it));
        if (it.owner == server.id && may_start)
        {
            start_move(it, server.id, "the scheduler is lost or leaving");
        }
    }
}

std::optional<router_instance>
shard_planner::choose_other_scheduler(const server_entry& server) const
{
    std::vector<router_instance> routers = view_.routers.usable_routers(view_.now);
    std::erase_if(routers,
                  [&](const router_instance& it) { return it.id == server.scheduler; });
    const server_view* config = find_config(server.id);
    return choose_scheduler(next_, config ? config->zone : data_centre(), routers);
}

// Evens out the number of servers for each router, for example after routers returned,
// one server at a time.
void shard_planner::spread_schedulers()
{
    std::vector<router_instance> routers = view_.routers.usable_routers(view_.now);
    if (has_changed_ || routers.empty() || view_.now < memory_.next_spread_at ||
        count_moving() > 0)
    {
        return;
    }
    memory_.next_spread_at = view_.now + view_.options.spread_period;
    std::optional<router_instance> least_used = choose_scheduler(next_, {}, routers);
    for (server_entry& it : next_.servers)
    {
        bool is_uneven =
            count_servers(next_, it.scheduler) > count_servers(next_, least_used->id) + 1;
        if (is_uneven && it.checks_epoch)
        {
            set_scheduler(it, *least_used, "spread over the routers");
            return;
        }
    }
}

bool shard_planner::needs_scheduler(const server_entry& server) const
{
    if (server.scheduler.empty())
    {
        return true;
    }
    bool is_unresponsive = view_.routers.is_unresponsive_for(
        server.scheduler, view_.options.router_report_timeout, view_.now);
    bool is_leaving = view_.routers.is_reporting(server.scheduler, view_.now) &&
                      !view_.routers.is_usable(server.scheduler, view_.now);
    return is_unresponsive || is_leaving;
}

// Returns whether the server's scheduler is suspected of being cut off, because it
// reports all of its servers, at least two, as lost. A second router then becomes the
// scheduler, and its report decides. This applies only where the change requires no wait,
// and once for each server until it is reported as alive.
bool shard_planner::is_suspected_scheduler(const server_entry& server) const
{
    bool is_first_suspicion = !memory_.suspected_schedulers.contains(server.id);
    if (!server.checks_epoch || !is_first_suspicion ||
        count_servers(next_, server.scheduler) < 2)
    {
        return false;
    }
    bool has_spare_router = view_.routers.usable_routers(view_.now).size() > 1;
    return has_spare_router &&
           std::all_of(next_.servers.begin(),
                       next_.servers.end(),
                       [&](const server_entry& it)
                       {
                           return it.scheduler != server.scheduler ||
                                  view_.routers.condition_of(it, view_.now) ==
                                      server_condition::lost;
                       });
}

} // namespace camphorrock
