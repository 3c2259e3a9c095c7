// The part of key_assigner for a store that came back from a copy.

#include "core/gateway/owners/key_assigner.hpp"

#include <algorithm>

namespace camphorrock
{

// The store has come back from a copy. Assigners of the earlier era may have had
// authority until now, and their last orders may be under way.
void key_assigner::begin_uncertainty(time_point now)
{
    predecessor_.reset();
    predecessor_bound_.reset();
    predecessor_check_.reset();
    confirms_from_ = now + options_.authority_ttl + options_.order_timeout;
    earlier_grants_end_ = confirms_from_ + worst_case_hold_time(options_.long_hold_time);
    for (keyed_service& row : services_)
    {
        for (range_state& it : row.key_ranges)
        {
            it.is_owner_certain = false;
            it.predecessor_grant_end = earlier_grants_end_;
            it.predecessor_unanswered_end = earlier_grants_end_;
        }
    }
}

void key_assigner::begin_era(store_era era, time_point now)
{
    next_epoch_.value = std::max(next_epoch_.value, first_number_of(era));
    epoch_limit_.value = next_epoch_.value + options_.epoch_block;
    version_.term = std::max(version_.term + 1, first_number_of(era));
    pending_record_.reset();
    // An assigner that has written no record may itself have started from a copy.
    goes_on_ = goes_on_ || !is_first_record_pending_;
    is_first_record_pending_ = true;
    notice_.end();
    bound_term_.reset();
    begin_uncertainty(now);
    count_change();
}

// The owner has accepted the grant that this assigner knows of.
void key_assigner::confirm_owner(range_state& it, const sent_order& sent)
{
    it.is_owner_certain = it.is_owner_certain || sent.sent_at > confirms_from_;
}

bool key_assigner::is_first_record_allowed(time_point now) const
{
    if (now >= earlier_grants_end_)
    {
        return true;
    }
    if (!goes_on_)
    {
        return false;
    }
    for (const keyed_service& row : services_)
    {
        for (const range_state& it : row.key_ranges)
        {
            if (!it.is_owner_certain)
            {
                return false;
            }
        }
    }
    return true;
}

// Renewing the same grant to the same owner is safe at any time.
bool key_assigner::may_renew_before_record(const range_state& it) const
{
    return goes_on_ && !it.target && !it.needs_higher_epoch && !it.range.owner.empty();
}

// The grants of the earlier era have expired. An epoch that was given out there may not
// be above all with which the keys were held.
void key_assigner::settle_uncertain(keyed_service& row)
{
    for (range_state& it : row.key_ranges)
    {
        it.needs_higher_epoch = it.needs_higher_epoch || !it.is_owner_certain;
        it.is_owner_certain = true;
    }
}

} // namespace camphorrock
