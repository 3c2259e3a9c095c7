// Where partitions go: ends of moves, first owners, losses, drains and joins.

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
        bool is_usable = target && is_wanted(*target) && !is_lost(*target);
        if (!is_usable)
        {
            std::optional<server_id> other = least_loaded(next_, targets(it.owner));
            bool can_stay = owner && is_wanted(*owner) && !is_lost(*owner);
            server_id to = other ? *other : can_stay ? it.owner : it.moving_to;
            if (to != it.moving_to)
            {
                start_move(it, to, "the new owner is lost");
            }
            continue;
        }
        // A move to the same owner stands for a change of scheduler, if there is another.
        bool is_waiting = it.owner == it.moving_to && needs_scheduler(*owner) &&
                          choose_other_scheduler(*owner);
        if (!is_waiting && is_released(it))
        {
            set_owner(it, it.moving_to, "released by " + it.owner.str());
        }
    }
}

void shard_planner::place_unowned()
{
    for (partition_entry& it : next_.partitions)
    {
        if (!it.owner.empty())
        {
            continue;
        }
        std::set<server_id> candidates = targets({});
        if (view_.record.version == epoch{})
        {
            for (const server_entry& server : next_.servers)
            {
                if (is_wanted(server))
                {
                    candidates.insert(server.id);
                }
            }
        }
        if (std::optional<server_id> to = least_loaded(next_, candidates))
        {
            set_owner(it, *to, "first assignment");
            memory_.joining.erase(*to);
        }
    }
}

// Off servers that are lost (all at once), draining or no longer declared (a few at
// once).
void shard_planner::leave_servers()
{
    for (partition_entry& it : next_.partitions)
    {
        const server_entry* owner = find_server(next_, it.owner);
        if (!owner || !it.moving_to.empty())
        {
            continue;
        }
        std::string reason = reason_to_leave(it.owner);
        bool is_planned = !is_lost(*owner);
        bool must_wait =
            is_planned &&
            (!is_settled(it) || moving_count() >= view_.options.max_planned_moves);
        if (reason.empty() || must_wait)
        {
            continue;
        }
        if (std::optional<server_id> to = least_loaded(next_, targets(it.owner)))
        {
            start_move(it, *to, reason);
        }
    }
}

std::string shard_planner::reason_to_leave(const server_id& owner) const
{
    const server_entry* entry = find_server(next_, owner);
    if (is_lost(*entry))
    {
        return "server " + owner.str() + " is lost";
    }
    if (!is_wanted(*entry))
    {
        return "server " + owner.str() + " drains, or is declared otherwise";
    }
    return {};
}

// A server that owns nothing gets its fair number of partitions, from those with most.
void shard_planner::join_servers()
{
    std::set<server_id> alive = targets({});
    std::size_t fair = alive.empty() ? 0 : next_.partitions.size() / alive.size();
    for (const server_id& it : alive)
    {
        std::size_t owned = partitions_of(next_, it);
        if (owned == 0)
        {
            memory_.joining.insert(it);
        }
        if (owned >= fair)
        {
            memory_.joining.erase(it);
        }
    }
    for (const server_id& to : memory_.joining)
    {
        while (alive.contains(to) && partitions_of(next_, to) < fair &&
               moving_count() < view_.options.max_planned_moves)
        {
            auto most = std::max_element(
                alive.begin(),
                alive.end(),
                [&](const server_id& one, const server_id& other)
                { return partitions_of(next_, one) < partitions_of(next_, other); });
            auto from = std::find_if(next_.partitions.begin(),
                                     next_.partitions.end(),
                                     [&](const partition_entry& it) {
                                         return it.owner == *most &&
                                                it.moving_to.empty() && is_settled(it);
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
