// Owners of partitions: completed moves, first owners, and lost, draining and joining
// servers.

#include "core/assignment/placement.hpp"
#include "core/assignment/shard_planner.hpp"

#include <algorithm>

namespace camphorrock
{

void shard_planner::finish_moves()
{
    for (partition_entry& it : next_.partitions)
    {
        if (it.moving_to.empty())
        {
            continue;
        }
        const server_entry* owner = find_server(next_, it.owner);
        const server_entry* target = find_server(next_, it.moving_to);
        bool is_target_usable =
            target && can_own_partitions(*target) && !is_lost(*target);
        if (!is_target_usable)
        {
            std::optional<server_id> other = choose_owner(next_, move_targets(it.owner));
            bool can_stay = owner && can_own_partitions(*owner) && !is_lost(*owner);
            server_id to = other ? *other : can_stay ? it.owner : it.moving_to;
            if (to != it.moving_to)
            {
                start_move(it, to, "the new owner is lost");
            }
            continue;
        }
        // A move to the same owner precedes a change of scheduler, and stays open for it
        // as long as another scheduler is available.
        bool awaits_scheduler = it.owner == it.moving_to && needs_scheduler(*owner) &&
                                choose_other_scheduler(*owner);
        if (!awaits_scheduler && is_released(it))
        {
            set_owner(it, it.moving_to, "released by " + it.owner.str());
        }
    }
}

void shard_planner::assign_unowned()
{
    for (partition_entry& it : next_.partitions)
    {
        if (!it.owner.empty())
        {
            continue;
        }
        std::set<server_id> candidates = move_targets({});
        if (view_.record.version == epoch{})
        {
            for (const server_entry& server : next_.servers)
            {
                if (can_own_partitions(server))
                {
                    candidates.insert(server.id);
                }
            }
        }
        if (std::optional<server_id> to = choose_owner(next_, candidates))
        {
            set_owner(it, *to, "first assignment");
            memory_.joining_servers.erase(*to);
        }
    }
}

// Starts moves off lost servers, all partitions at once, and off servers that are
// draining or no longer declared, at most max_planned_moves at once.
void shard_planner::evacuate_servers()
{
    for (partition_entry& it : next_.partitions)
    {
        const server_entry* owner = find_server(next_, it.owner);
        if (!owner || !it.moving_to.empty())
        {
            continue;
        }
        std::string reason = reason_to_evacuate(it.owner);
        bool is_planned = !is_lost(*owner);
        bool must_wait =
            is_planned &&
            (!is_ready_to_move(it) || count_moving() >= view_.options.max_planned_moves);
        if (reason.empty() || must_wait)
        {
            continue;
        }
        if (std::optional<server_id> to = choose_owner(next_, move_targets(it.owner)))
        {
            start_move(it, *to, reason);
        }
    }
}

std::string shard_planner::reason_to_evacuate(const server_id& owner) const
{
    const server_entry* entry = find_server(next_, owner);
    if (is_lost(*entry))
    {
        return "server " + owner.str() + " is lost";
    }
    if (!can_own_partitions(*entry))
    {
        return "server " + owner.str() + " drains, or is declared otherwise";
    }
    return {};
}

// Moves partitions to servers that own none, from the servers with the most partitions,
// until each has an equal number.
void shard_planner::fill_joining_servers()
{
    std::set<server_id> eligible = move_targets({});
    std::size_t fair_count =
        eligible.empty() ? 0 : next_.partitions.size() / eligible.size();
    for (const server_id& it : eligible)
    {
        std::size_t owned = count_partitions(next_, it);
        if (owned == 0)
        {
            memory_.joining_servers.insert(it);
        }
        if (owned >= fair_count)
        {
            memory_.joining_servers.erase(it);
        }
    }
    for (const server_id& to : memory_.joining_servers)
    {
        while (eligible.contains(to) && count_partitions(next_, to) < fair_count &&
               count_moving() < view_.options.max_planned_moves)
        {
            auto largest_owner = std::max_element(
                eligible.begin(),
                eligible.end(),
                [&](const server_id& one, const server_id& other) {
                    return count_partitions(next_, one) < count_partitions(next_, other);
                });
            auto from = std::find_if(next_.partitions.begin(),
                                     next_.partitions.end(),
                                     [&](const partition_entry& it) {
                                         return it.owner == *largest_owner &&
                                                it.moving_to.empty() &&
                                                is_ready_to_move(it);
                                     });
            if (from == next_.partitions.end())
            {
                break;
            }
            start_move(*from, to, "server " + to.str() + " joins");
        }
    }
}

} // namespace camphorrock
