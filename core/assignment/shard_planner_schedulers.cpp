// Which router schedules which server.

#include "core/assignment/placement.hpp"
#include "core/assignment/shard_planner.hpp"

#include <algorithm>

namespace camphorrock
{

// The schedulers of servers whose router is lost, leaving, or cut off from its servers.
void shard_planner::plan_schedulers()
{
    std::erase_if(memory_.doubted_by,
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
    bool is_doubted = is_cut_off_router(server);
    if (!needs_scheduler(server) && !is_doubted)
    {
        return;
    }
    std::optional<router_instance> router = choose_other_scheduler(server);
    if (!router)
    {
        return;
    }
    if (server.checks_epoch || is_all_released(server.id))
    {
        if (is_doubted)
        {
            memory_.doubted_by[server.id] = server.scheduler;
        }
        set_scheduler(
            server, *router, is_doubted ? "cut off from its servers" : "lost or leaving");
        return;
    }
    bool is_lost = !view_.routers.is_heard(server.scheduler, view_.now);
    for (partition_entry& it : next_.partitions)
    {
        bool may_start = it.moving_to.empty() && (is_lost || is_settled(it));
        if (it.owner == server.id && may_start)
        {
            start_move(it, server.id, "the scheduler is lost or leaving");
        }
    }
}

std::optional<router_instance>
shard_planner::choose_other_scheduler(const server_entry& server) const
{
    std::vector<router_instance> routers = view_.routers.usable(view_.now);
    std::erase_if(routers,
                  [&](const router_instance& it) { return it.id == server.scheduler; });
    const server_view* config = config_of(server.id);
    return choose_scheduler(next_, config ? config->zone : data_centre(), routers);
}

// Evens out the schedulers after routers came back, one server at a time.
void shard_planner::spread_schedulers()
{
    std::vector<router_instance> routers = view_.routers.usable(view_.now);
    if (has_changed_ || routers.empty() || view_.now < memory_.spread_due ||
        moving_count() > 0)
    {
        return;
    }
    memory_.spread_due = view_.now + view_.options.spread_period;
    std::optional<router_instance> idle = choose_scheduler(next_, {}, routers);
    for (server_entry& it : next_.servers)
    {
        bool is_uneven =
            servers_of(next_, it.scheduler) > servers_of(next_, idle->id) + 1;
        if (is_uneven && it.checks_epoch)
        {
            set_scheduler(it, *idle, "spread over the routers");
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
    bool is_silent = view_.routers.is_silent_for(
        server.scheduler, view_.options.router_silence, view_.now);
    bool is_leaving = view_.routers.is_heard(server.scheduler, view_.now) &&
                      !view_.routers.is_usable(server.scheduler, view_.now);
    return is_silent || is_leaving;
}

// A router to which all of its servers are lost may be the one that is cut off. A second
// router's word decides, where asking it costs no wait.
bool shard_planner::is_cut_off_router(const server_entry& server) const
{
    bool is_first_word = !memory_.doubted_by.contains(server.id);
    if (!server.checks_epoch || !is_first_word || servers_of(next_, server.scheduler) < 2)
    {
        return false;
    }
    bool has_spare_router = view_.routers.usable(view_.now).size() > 1;
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
