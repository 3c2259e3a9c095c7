// The part of key_assigner for long grants: notices of them, the bound without a notice,
// and what the predecessor's owners prove.

#include "core/gateway/owners/key_assigner.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration check_period = milliseconds(100); // of the predecessor's owners

} // namespace

bool key_assigner::needs_store_check(time_point now) const
{
    return has_authority(now) && !may_move(now);
}

void key_assigner::store_check_begun(time_point now)
{
    store_check_begun_at_ = store_check_begun_at_.value_or(now);
}

void key_assigner::store_answered_other(time_point at)
{
    other_answered_at_ = std::max(other_answered_at_, at);
}

bool key_assigner::is_cut_off_alone(time_point now) const
{
    return trouble_since_ && other_answered_at_ >= *trouble_since_ &&
           now - other_answered_at_ < options_.other_answer_validity;
}

bool key_assigner::is_store_check_open(time_point now) const
{
    return store_check_begun_at_ &&
           now < *store_check_begun_at_ + options_.store_check_time;
}

// True if the store answers nobody, as far as known.
bool key_assigner::is_store_down(time_point now) const
{
    return !is_store_available(now) && !is_cut_off_alone(now) &&
           !is_store_check_open(now);
}

void key_assigner::note_trouble(time_point now)
{
    if (may_move(now))
    {
        trouble_since_.reset();
        store_check_begun_at_.reset();
        return;
    }
    trouble_since_ = trouble_since_.value_or(now);
    last_trouble_at_ = now;
}

// Begins a notice as soon as a renewal of the lease is late or has failed, so that it is
// complete by the time that the store counts as unavailable.
void key_assigner::update_notice(time_point now)
{
    note_trouble(now);
    const bool may_be_down =
        trouble_since_ && !is_cut_off_alone(now) && !is_store_check_open(now);
    const bool needs_notice = may_be_down && bound_term_ && !notice_.is_begun() &&
                              !is_first_record_pending_ && next_epoch_ < epoch_limit_;
    if (needs_notice)
    {
        begin_notice(now);
    }
    is_notice_complete_ = notice_.is_begun() && is_notice_complete();
    const bool gives_long = is_store_down(now) && may_give_long_grants();
    if (gives_long && !gave_long_grants_)
    {
        hasten_grants(now);
    }
    gave_long_grants_ = gives_long;
}

void key_assigner::begin_notice(time_point now)
{
    const epoch at = allocate_epoch();
    notice_.begin(at);
    for (keyed_service& row : services_)
    {
        for (range_state& it : row.key_ranges)
        {
            it.notice_epoch = it.target || it.needs_higher_epoch ? it.notice_epoch : at;
        }
    }
    hasten_grants(now);
}

// The record in the store is the last one that was written, or the one that is being
// written; the successor may start with either.
bool key_assigner::is_notice_complete() const
{
    std::set<owner_incarnation> owners;
    for (const keyed_service& row : services_)
    {
        for (const range_state& it : row.key_ranges)
        {
            owners.insert({it.range.owner, it.range.incarnation});
        }
    }
    return notice_.is_complete(owners) &&
           (!pending_record_ || notice_.is_complete(owners_of(*pending_record_)));
}

bool key_assigner::may_give_long_grants() const
{
    return !bound_term_ || is_notice_complete_;
}

// True if the next record must be of a new term, which has no bound.
bool key_assigner::is_bound_exceeded() const
{
    return bound_term_ && (has_exceeded_bound_ || needs_longer_grants_);
}

// The longest time for which a grant of hold_time that is sent now may be in force.
duration key_assigner::short_grant_time() const
{
    return options_.order_timeout + worst_case_hold_time(options_.hold_time);
}

// True if this assigner has given no grant that ends later than one of hold_time that is
// sent now, and gives none soon.
bool key_assigner::are_own_grants_short(time_point now) const
{
    const time_point end = now + short_grant_time();
    for (const keyed_service& row : services_)
    {
        for (const range_state& it : row.key_ranges)
        {
            if (it.latest_grant_end > end)
            {
                return false;
            }
        }
    }
    return last_longer_grant_at_ == time_point() ||
           now - last_longer_grant_at_ >= options_.bound_pause;
}

// Until the last grant of an earlier assigner must have expired; in whole milliseconds.
duration key_assigner::earlier_grants_left(time_point now) const
{
    time_point end = now;
    for (const keyed_service& row : services_)
    {
        for (const range_state& it : row.key_ranges)
        {
            end = std::max(end, it.predecessor_grant_end);
        }
    }
    return std::chrono::ceil<milliseconds>(end - now);
}

// A bound is stated again when the wait for earlier grants has become much shorter.
bool key_assigner::is_bound_stated(duration earlier_left) const
{
    if (!bound_term_ || !is_bound_written_)
    {
        return false;
    }
    const duration wanted = std::max(short_grant_time(), stated_earlier_left_ / 2);
    return stated_earlier_left_ <= short_grant_time() || earlier_left > wanted;
}

std::optional<grant_bound> key_assigner::next_bound(time_point now)
{
    const bool may_state = !is_bound_exceeded() && !is_first_record_pending_ &&
                           !pending_record_ && has_authority(now) && may_move(now) &&
                           now >= next_bound_at_;
    if (!may_state || !are_own_grants_short(now))
    {
        return std::nullopt;
    }
    const duration earlier_left = earlier_grants_left(now);
    if (is_bound_stated(earlier_left))
    {
        return std::nullopt;
    }
    next_bound_at_ = now + options_.bound_retry_period;
    has_exceeded_bound_ = false;
    bound_term_ = version_.term;
    is_bound_written_ = false;
    stated_earlier_left_ = earlier_left;
    return grant_bound{self_, version_.term, options_.hold_time, earlier_left};
}

void key_assigner::bound_written(const grant_bound& bound)
{
    is_bound_written_ = is_bound_written_ || (bound_term_ == bound.term &&
                                              stated_earlier_left_ == bound.earlier_left);
}

void key_assigner::hasten_grants(time_point now)
{
    for (keyed_service& row : services_)
    {
        for (range_state& it : row.key_ranges)
        {
            it.next_order_at = it.target ? it.next_order_at : now;
        }
    }
}

// The owner accepted a grant, perhaps with the epoch of a notice, or one of the
// predecessor's record.
void key_assigner::note_renewal(const range_state& it, const sent_order& sent)
{
    notice_.accepted({it.range.owner, it.range.incarnation}, sent.order.at);
    if (predecessor_check_)
    {
        assigned_key_range granted = it.range;
        granted.grant_epoch = sent.order.at;
        granted.keys = sent.order.keys;
        predecessor_check_->accepted(sent.service, granted, sent.sent_at);
    }
}

void key_assigner::check_predecessor_notice(const assigner_view& view, time_point now)
{
    if (!predecessor_check_ || now < next_check_at_)
    {
        return;
    }
    next_check_at_ = now + check_period;
    if (predecessor_check_->excludes_notice(predecessor_orders_end_, *view.servers, now))
    {
        predecessor_check_.reset();
        limit_predecessor_grants(predecessor_bound_->hold_time);
    }
    else if (now >= predecessor_grants_end_)
    {
        predecessor_check_.reset();
        predecessor_bound_.reset();
    }
}

// The predecessor has given no grant with a longer hold time.
void key_assigner::limit_predecessor_grants(duration hold_time)
{
    const time_point end =
        std::max(predecessor_orders_end_ + worst_case_hold_time(hold_time),
                 bound_stated_by_ + predecessor_bound_->earlier_left);
    limit_predecessor_ends(end, end);
}

bool key_assigner::predecessor_restarted(const assigner_restart& got, time_point now)
{
    if (!predecessor_bound_ || !is_predecessor(got.writer, got.term))
    {
        return false;
    }
    const time_point ended = now - got.started_ago;
    bound_stated_by_ = std::min(bound_stated_by_, ended);
    // An order of the process that ended may have been under way.
    predecessor_orders_end_ =
        std::min(predecessor_orders_end_, ended + options_.order_timeout);
    limit_predecessor_grants(has_proved_bound() ? predecessor_bound_->hold_time
                                                : options_.long_hold_time);
    return true;
}

} // namespace camphorrock
