// Who the voters are.

#include "core/assignment/placement.hpp"
#include "core/assignment/shard_planner.hpp"

#include <algorithm>

namespace camphorrock
{

void shard_planner::plan_voters()
{
    if (!next_.previous_voters.empty())
    {
        finish_voters();
        return;
    }
    bool is_lost_long = view_.options.voters_lost_after <= view_.without_majority;
    if (view_.hears_majority || next_.voters.empty() || is_lost_long)
    {
        replace_voters();
    }
}

void shard_planner::replace_voters()
{
    std::vector<router_instance> kept;
    for (const voter_entry& it : next_.voters)
    {
        bool is_gone = view_.routers.is_silent_for(
            it.id, view_.options.voter_replace_after, view_.now);
        bool is_leaving = view_.routers.is_heard(it.id, view_.now) &&
                          !view_.routers.is_usable(it.id, view_.now);
        if (!is_gone && !is_leaving)
        {
            const router_state* state = view_.routers.find(it.id);
            kept.push_back(
                {it.id, it.peer, state ? state->self.zone : data_centre(), false});
        }
    }
    std::vector<voter_entry> voters =
        choose_voters(kept, view_.routers.usable(view_.now), view_.options.max_voters);
    bool is_smaller = voters.size() < next_.voters.size();
    if (voters == next_.voters || voters.empty() || is_smaller)
    {
        return;
    }
    next_.previous_voters = next_.voters;
    next_.voters = voters;
    note(change_kind::voters_changed,
         std::nullopt,
         {},
         "voters are lost, leaving or too few");
}

// The previous voters go once both sets refuse versions from before the change. Where the
// new ones are lost before that, the previous ones come back.
void shard_planner::finish_voters()
{
    if (view_.fences.is_fenced(view_.record.version, view_.now))
    {
        next_.previous_voters.clear();
        note(change_kind::voters_changed, std::nullopt, {}, "the change is fenced");
        return;
    }
    std::set<instance_id> present;
    for (const voter_entry& it : next_.voters)
    {
        if (!view_.routers.is_silent_for(
                it.id, view_.options.voter_replace_after, view_.now))
        {
            present.insert(it.id);
        }
    }
    if (!is_majority(next_.voters, present) && next_.voters != next_.previous_voters)
    {
        next_.voters = next_.previous_voters;
        note(change_kind::voters_changed, std::nullopt, {}, "the new voters are lost");
    }
}

} // namespace camphorrock
