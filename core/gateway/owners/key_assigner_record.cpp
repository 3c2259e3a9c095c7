// The record of key_assigner: when one is due, what it says, and what follows once the
// store has it.

#include "core/gateway/owners/key_assigner.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

// With no more than this many reserved epochs left, a record is written to reserve more.
constexpr std::uint64_t min_spare_epochs = 100;

} // namespace

bool key_assigner::has_spare_epochs() const
{
    return next_epoch_.value + min_spare_epochs < epoch_limit_.value;
}

// True if the next record may name the target as the owner, or give the owner's grant a
// higher epoch.
bool key_assigner::may_reassign(const range_state& it, time_point now) const
{
    if (it.needs_higher_epoch && !it.target)
    {
        return true;
    }
    if (!it.target)
    {
        return false;
    }
    const bool is_same_server = *it.target == it.range.owner;
    const bool is_release_safe = it.is_released && now >= it.unanswered_grants_end();
    return is_same_server || is_release_safe || now >= it.grants_end();
}

// A settled range has an owner that accepts its orders, and nothing about it is changing.
// It can move, or be merged with an adjacent one into one grant.
bool key_assigner::is_settled(const range_state& it) const
{
    return !it.target && !it.needs_higher_epoch && !it.is_unresponsive && !it.order &&
           !it.range.owner.empty();
}

bool key_assigner::can_merge(const range_state& first, const range_state& second) const
{
    return is_settled(first) && is_settled(second) &&
           first.range.owner == second.range.owner &&
           first.range.incarnation == second.range.incarnation &&
           first.range.keys.last + 1 == second.range.keys.first;
}

bool key_assigner::is_record_due(time_point now) const
{
    if (is_first_record_pending_)
    {
        return is_first_record_allowed(now);
    }
    const bool is_notice_over = notice_.is_begun() && may_move(now) &&
                                now - last_trouble_at_ >= options_.notice_record_delay;
    if (is_notice_over || (needs_longer_grants_ && bound_term_))
    {
        return true;
    }
    if (!has_spare_epochs())
    {
        return true;
    }
    for (const keyed_service& row : services_)
    {
        for (const range_state& it : row.key_ranges)
        {
            if (may_reassign(it, now))
            {
                return true;
            }
        }
        if (is_merge_due(row, now))
        {
            return true;
        }
    }
    return false;
}

bool key_assigner::is_merge_due(const keyed_service& row, time_point now) const
{
    // The predecessor's owners prove something with the grants of its record only.
    if (now < row.next_merge_at || predecessor_check_)
    {
        return false;
    }
    for (std::size_t n = 1; n < row.key_ranges.size(); ++n)
    {
        if (can_merge(row.key_ranges[n - 1], row.key_ranges[n]))
        {
            return true;
        }
    }
    return false;
}

std::optional<key_assignment> key_assigner::next_record(time_point now)
{
    // A record would end a notice before enough owners have accepted it.
    const bool is_notice_under_way = notice_.is_begun() && !may_move(now);
    if (pending_record_ || is_notice_under_way || !has_authority(now) ||
        !is_record_due(now))
    {
        return std::nullopt;
    }
    key_assignment made;
    made.writer = self_;
    for (const keyed_service& row : services_)
    {
        made.services.push_back(next_key_ranges(row, now));
    }
    count_change();
    made.version = version_;
    made.version.term += is_bound_exceeded() ? 1 : 0;
    made.epoch_limit = epoch{next_epoch_.value + options_.epoch_block};
    notice_.end();
    pending_record_ = made;
    return made;
}

service_key_ranges key_assigner::next_key_ranges(const keyed_service& row, time_point now)
{
    service_key_ranges made;
    made.service = row.name;
    const range_state* last = nullptr; // the last state added to made.key_ranges.back()
    unsigned merged_count = 0;         // states merged into made.key_ranges.back()
    for (const range_state& it : row.key_ranges)
    {
        assigned_key_range range = it.range;
        range.is_moving = false;
        range.grant_epoch = it.order_epoch();
        const bool is_merged =
            !is_first_record_pending_ && last != nullptr && can_merge(*last, it);
        last = &it;
        if (is_merged)
        {
            assigned_key_range& merged = made.key_ranges.back();
            merged.grant_epoch =
                merged_count == 1 ? allocate_epoch() : merged.grant_epoch;
            ++merged_count;
            merged.keys.last = range.keys.last;
            continue;
        }
        merged_count = 1;
        if (!is_first_record_pending_ && may_reassign(it, now))
        {
            range.owner = it.target.value_or(range.owner);
            range.incarnation = it.target ? it.target_incarnation : range.incarnation;
            range.grant_epoch = allocate_epoch();
        }
        if (!range.owner.empty())
        {
            made.key_ranges.push_back(range);
        }
    }
    return made;
}

void key_assigner::record_written(time_point now)
{
    if (!pending_record_)
    {
        return;
    }
    is_first_record_pending_ = false;
    goes_on_ = false;
    epoch_limit_ = pending_record_->epoch_limit;
    if (pending_record_->version.term != version_.term)
    {
        version_.term = pending_record_->version.term;
        bound_term_.reset();
        has_exceeded_bound_ = false;
        needs_longer_grants_ = false;
    }
    for (keyed_service& row : services_)
    {
        adopt(row, *pending_record_->find_service(row.name), now);
        settle_uncertain(row);
    }
    count_change();
    pending_record_.reset();
}

void key_assigner::adopt(keyed_service& row,
                         const service_key_ranges& written,
                         time_point now)
{
    std::vector<range_state> adopted;
    for (range_state& it : row.key_ranges)
    {
        const bool is_merged =
            !adopted.empty() && adopted.back().range.keys.contains({it.range.keys.first});
        if (is_merged)
        {
            merge(adopted.back(), it);
            continue;
        }
        adopted.push_back(std::move(it));
        for (const assigned_key_range& range : written.key_ranges)
        {
            if (range.keys.first == adopted.back().range.keys.first)
            {
                adopt(adopted.back(), range, now);
            }
        }
    }
    row.key_ranges = std::move(adopted);
    row.next_merge_at = now + options_.merge_period;
}

void key_assigner::adopt(range_state& it,
                         const assigned_key_range& written,
                         time_point now)
{
    const bool is_after_notice =
        written.owner == it.range.owner && written.grant_epoch == it.notice_epoch;
    if (written.grant_epoch == it.range.grant_epoch || is_after_notice)
    {
        it.range.grant_epoch = written.grant_epoch;
        return;
    }
    const bool is_other_owner = written.owner != it.range.owner;
    it.unanswered_grant_end = it.own_unanswered_grants_end();
    it.range = written;
    it.target.reset();
    it.release_epoch.reset();
    it.is_evacuating = false;
    it.is_release_sent = false;
    it.is_released = false;
    it.needs_higher_epoch = false;
    it.is_unresponsive = false;
    it.silent_grant_end.reset();
    it.is_rejecting = false;
    it.is_refused = false;
    it.order.reset();
    it.next_order_at = now;
    it.moved_at = now;
    it.last_accepted_at = now;
    if (is_other_owner)
    {
        it.latest_grant_end = {};
        it.previous_grant_end = {};
        it.unanswered_grant_end = {};
        it.predecessor_unanswered_end = {};
        it.predecessor_grant_end = {};
    }
}

// A grant that may be in force for the part may be in force for the merged range.
void key_assigner::merge(range_state& whole, const range_state& part)
{
    whole.latest_grant_end = std::max(whole.latest_grant_end, part.latest_grant_end);
    whole.unanswered_grant_end =
        std::max(whole.unanswered_grant_end, part.own_unanswered_grants_end());
    whole.predecessor_grant_end =
        std::max(whole.predecessor_grant_end, part.predecessor_grant_end);
    whole.predecessor_unanswered_end =
        std::max(whole.predecessor_unanswered_end, part.predecessor_unanswered_end);
}

void key_assigner::record_not_written()
{
    pending_record_.reset();
}

} // namespace camphorrock
