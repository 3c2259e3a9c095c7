// The steps of a balancing policy.

#include "core/assignment/placement.hpp"
#include "core/assignment/shard_planner.hpp"

#include <algorithm>

namespace camphorrock
{

void shard_planner::follow_plan()
{
    while (!memory_.plan.empty() && moving_count() < view_.options.max_planned_moves)
    {
        planner_memory::waiting_step waiting = memory_.plan.front();
        if (!is_settled(waiting.step))
        {
            return;
        }
        memory_.plan.pop_front();
        if (!take_step(waiting.step, waiting.reason))
        {
            note(change_kind::step_dropped, std::nullopt, {}, waiting.reason);
        }
    }
}

// Only a move has to wait, and only for a partition that is still there.
bool shard_planner::is_settled(const rebalance_step& step) const
{
    const auto* move = std::get_if<move_step>(&step);
    const partition_entry* partition =
        move != nullptr ? find_partition(next_, move->range.first) : nullptr;
    return partition == nullptr || is_settled(*partition);
}

bool shard_planner::take_step(const rebalance_step& step, const std::string& reason)
{
    if (const auto* move = std::get_if<move_step>(&step))
    {
        return take_move(*move, reason);
    }
    if (const auto* split = std::get_if<split_step>(&step))
    {
        return take_split(*split, reason);
    }
    return take_merge(std::get<merge_step>(step), reason);
}

bool shard_planner::take_move(const move_step& step, const std::string& reason)
{
    auto it =
        std::find_if(next_.partitions.begin(),
                     next_.partitions.end(),
                     [&](const partition_entry& one) { return one.range == step.range; });
    bool is_possible = it != next_.partitions.end() && it->moving_to.empty() &&
                       targets(it->owner).contains(step.to);
    if (is_possible)
    {
        start_move(*it, step.to, reason);
    }
    return is_possible;
}

// Both halves keep the epoch: owner and scheduler are the same.
bool shard_planner::take_split(const split_step& step, const std::string& reason)
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
    note(change_kind::split, upper.range, upper.owner, reason);
    next_.partitions.insert(std::next(it), upper);
    return true;
}

bool shard_planner::take_merge(const merge_step& step, const std::string& reason)
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
    note(change_kind::merged, lower->range, lower->owner, reason);
    next_.partitions.erase(it);
    return true;
}

} // namespace camphorrock
