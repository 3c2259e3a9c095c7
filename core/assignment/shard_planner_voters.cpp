// Chooses and replaces voters.

#include "core/assignment/placement.hpp"
#include "core/assignment/shard_planner.hpp"

#include <algorithm>

namespace camphorrock
{

void shard_planner::plan_voters()
{
    if (!next_.previous_voters.empty())
    {
        finish_voter_change();
        return;
    }
    bool is_majority_lost_long =
        view_.options.voters_lost_after <= view_.majority_lost_for;
    if (view_.reaches_majority || next_.voters.empty() || is_majority_lost_long)
    {
        replace_voters();
    }
}

void shard_planner::replace_voters()
{
    std::vector<router_instance> kept;
    for (const voter_entry& it : next_.voters)
    {
        bool is_unresponsive = view_.routers.is_unresponsive_for(
            it.id, view_.options.voter_replace_after, view_.now);
        bool is_leaving = view_.routers.is_reporting(it.id, view_.now) &&
                          !view_.routers.is_usable(it.id, view_.now);
        if (!is_unresponsive && !is_leaving)
        {
            const router_state* state = view_.routers.find(it.id);
            kept.push_back(
                {it.id, it.peer, state ? state->instance.zone : data_centre(), false});
        }
    }
    std::vector<voter_entry> voters = choose_voters(
        kept, view_.routers.usable_routers(view_.now), view_.options.max_voters);
    bool is_smaller = voters.size() < next_.voters.size();
    if (voters == next_.voters || voters.empty() || is_smaller)
    {
        return;
    }
    next_.previous_voters = next_.voters;
    next_.voters = voters;
    record_change(change_kind::voters_changed,
                  std::nullopt,
                  {},
                  "voters are lost, leaving or too few");
}

// Removes the previous voters once majorities of both sets refuse versions from before
// the change. Restores the previous voters if the new ones are lost before that.
void shard_planner::finish_voter_change()
{
    if (view_.fences.is_fenced(view_.record.version, view_.now))
    {
        next_.previous_voters.clear();
        record_change(
            change_kind::voters_changed, std::nullopt, {}, "the change is fenced");
        return;
    }
    std::set<instance_id> present;
    for (const voter_entry& it : next_.voters)
    {
        if (!view_.routers.is_unresponsive_for(
                it.id, view_.options.voter_replace_after, view_.now))
        {
            present.insert(it.id);
        }
    }
    if (!is_majority(next_.voters, present) && next_.voters != next_.previous_voters)
    {
        next_.voters = next_.previous_voters;
        record_change(
            change_kind::voters_changed, std::nullopt, {}, "the new voters are lost");
    }
}

} // namespace camphorrock
