// Applies the steps of rebalance plans.

#include "core/assignment/placement.hpp"
#include "core/assignment/shard_planner.hpp"

#include <algorithm>

namespace camphorrock
{

void shard_planner::apply_pending_steps()
{
    while (!memory_.pending_steps.empty() &&
           count_moving() < view_.options.max_planned_moves)
    {
        planner_memory::pending_step pending = memory_.pending_steps.front();
        if (!is_ready(pending.step))
        {
            return;
        }
        memory_.pending_steps.pop_front();
        if (!apply_step(pending.step, pending.reason))
        {
            record_change(change_kind::step_dropped, std::nullopt, {}, pending.reason);
        }
    }
}

// A move must wait until its partition is ready to move. Splits, merges and steps for a
// partition that no longer exists need no wait.
bool shard_planner::is_ready(const rebalance_step& step) const
{
    const auto* move = std::get_if<move_step>(&step);
    const partition_entry* partition =
        move != nullptr ? find_partition(next_, move->range.first) : nullptr;
    return partition == nullptr || is_ready_to_move(*partition);
}

bool shard_planner::apply_step(const rebalance_step& step, const std::string& reason)
{
    if (const auto* move = std::get_if<move_step>(&step))
    {
        return apply_move(*move, reason);
    }
    if (const auto* split = std::get_if<split_step>(&step))
    {
        return apply_split(*split, reason);
    }
    return apply_merge(std::get<merge_step>(step), reason);
}

bool shard_planner::apply_move(const move_step& step, const std::string& reason)
{
    auto it =
        std::find_if(next_.partitions.begin(),
                     next_.partitions.end(),
                     [&](const partition_entry& one) { return one.range == step.range; });
    bool is_possible = it != next_.partitions.end() && it->moving_to.empty() &&
                       move_targets(it->owner).contains(step.to);
    if (is_possible)
    {
        start_move(*it, step.to, reason);
    }
    return is_possible;
}

// Both halves keep the epoch, since owner and scheduler do not change.
bool shard_planner::apply_split(const split_step& step, const std::string& reason)
{
    auto it = std::find_if(next_.partitions.begin(),
                           next_.partitions.end(),
                           [&](const partition_entry& one)
                           { return one.range.contains(step.at); });
    if (it->range.first == step.at || !it->moving_to.empty() ||
        next_.partitions.size() >= view_.ownership.max_partitions)
    {
        return false;
    }
    partition_entry upper = *it;
    upper.range.first = step.at;
    it->range.last = {step.at.value - 1};
    record_change(change_kind::split, upper.range, upper.owner, reason);
    next_.partitions.insert(std::next(it), upper);
    return true;
}

bool shard_planner::apply_merge(const merge_step& step, const std::string& reason)
{
    auto it = std::find_if(next_.partitions.begin(),
                           next_.partitions.end(),
                           [&](const partition_entry& one)
                           { return one.range.first == step.at; });
    if (it == next_.partitions.begin() || it == next_.partitions.end())
    {
        return false;
    }
    auto lower = std::prev(it);
    if (lower->owner != it->owner || !lower->moving_to.empty() || !it->moving_to.empty())
    {
        return false;
    }
    if (lower->since != it->since)
    {
        lower->since = next_.version;
    }
    lower->range.last = it->range.last;
    record_change(change_kind::merged, lower->range, lower->owner, reason);
    next_.partitions.erase(it);
    return true;
}

} // namespace camphorrock
