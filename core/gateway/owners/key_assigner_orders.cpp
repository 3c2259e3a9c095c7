// The orders of key_assigner: which are due, and what their ends tell.

#include "core/gateway/owners/key_assigner.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr duration release_retry_pause = milliseconds(200);
constexpr duration unresponsive_retry_pause = milliseconds(250);
// A shorter grant to an owner that does not answer is not worth an order.
constexpr duration min_silent_hold_time = milliseconds(100);

} // namespace

// Of the next grant to an owner that did not answer the last ones. The range moves when
// these have expired, so they must end at some time; but if no other server can take the
// range now, the owner is still asked. Empty for an owner that answers, and if the range
// cannot move.
std::optional<duration> key_assigner::silent_hold_time(const keyed_service& row,
                                                       const range_state& it,
                                                       time_point now) const
{
    if (!it.silent_grant_end || !row.has_responsive_server || !may_move(now))
    {
        return std::nullopt;
    }
    const time_point end = std::max(*it.silent_grant_end, it.predecessor_grant_end);
    const duration left = end - now - options_.order_timeout - options_.expiry_margin;
    const auto by_slow_clock = static_cast<double>(left.count()) / (1.0 + options_.drift);
    return std::min(options_.hold_time,
                    duration(static_cast<duration::rep>(by_slow_clock)));
}

void key_assigner::add_due_order(keyed_service& row,
                                 range_state& it,
                                 const assigner_view& view,
                                 time_point now,
                                 std::vector<key_order>& orders)
{
    const known_server* owner = view.servers->find(it.range.owner);
    const bool is_allowed = !is_first_record_pending_ || may_renew_before_record(it);
    const bool is_due = is_allowed && !it.order && now >= it.next_order_at;
    if (!is_due || !is_same_incarnation(owner, it.range.incarnation))
    {
        return;
    }
    if (it.target)
    {
        const bool is_moving_back = *it.target == it.range.owner;
        const bool needs_release = it.release_epoch && !is_moving_back &&
                                   !it.is_released && it.grants_end() > now;
        if (needs_release)
        {
            orders.push_back(make_order(row, it, *owner, order_kind::release, view, now));
        }
        return;
    }
    const bool is_given_up =
        silent_hold_time(row, it, now).value_or(min_silent_hold_time) <
        min_silent_hold_time;
    if (!it.needs_higher_epoch && !is_given_up)
    {
        orders.push_back(make_order(row, it, *owner, order_kind::grant, view, now));
    }
}

key_order key_assigner::make_order(const keyed_service& row,
                                   range_state& it,
                                   const known_server& owner,
                                   order_kind kind,
                                   const assigner_view& view,
                                   time_point now)
{
    key_order made;
    made.id = order_id{++last_order_id_.value};
    made.kind = kind;
    made.service = row.name;
    made.server = it.range.owner;
    made.address = owner.entry.address;
    made.keys = it.range.keys;
    made.use_new_connection = it.is_unresponsive;
    it.order = made.id;
    it.previous_grant_end = it.latest_grant_end;
    if (kind == order_kind::release)
    {
        it.is_release_sent = true;
        made.at = *it.release_epoch;
        made.timeout = options_.release_timeout;
        it.next_order_at = now + release_retry_pause;
    }
    else
    {
        made.at = it.order_epoch();
        duration period = renew_period(row, owner, view);
        if (period > options_.grant_renew_period)
        {
            last_longer_grant_at_ = now;
            needs_longer_grants_ = bound_term_.has_value();
            period = bound_term_ ? options_.grant_renew_period : period;
        }
        it.renewal_delay = period - options_.grant_renew_period;
        made.hold_time = std::max(current_hold_time(now), hold_time_for(period));
        if (it.silent_grant_end)
        {
            made.hold_time = silent_hold_time(row, it, now).value_or(options_.hold_time);
        }
        has_exceeded_bound_ = has_exceeded_bound_ || made.hold_time > options_.hold_time;
        made.handover = it.handover;
        made.timeout = options_.order_timeout;
        it.next_order_at = now + period;
        const time_point latest =
            now + made.timeout + worst_case_hold_time(made.hold_time);
        it.latest_grant_end = std::max(it.latest_grant_end, latest);
    }
    orders_[made.id] = {row.name, made, now};
    return made;
}

key_assigner::range_state* key_assigner::range_of_order(const sent_order& sent)
{
    for (range_state& it : service_row(sent.service).key_ranges)
    {
        if (it.order == sent.order.id)
        {
            return &it;
        }
    }
    return nullptr;
}

void key_assigner::order_ended(order_id id, const order_result& got, time_point now)
{
    auto found = orders_.find(id);
    if (found == orders_.end())
    {
        return;
    }
    const sent_order sent = found->second;
    orders_.erase(found);
    range_state* it = range_of_order(sent);
    if (it == nullptr)
    {
        return;
    }
    it->order.reset();
    const bool is_grant = sent.order.kind == order_kind::grant;
    const bool was_disowned = it->is_disowned();
    switch (got.end)
    {
    case order_end::accepted:
        it->is_unresponsive = false;
        it->silent_grant_end.reset();
        it->is_rejecting = false;
        it->is_refused = false;
        it->last_accepted_at = now;
        if (is_grant)
        {
            confirm_owner(*it, sent);
            note_renewal(*it, sent);
            it->handover.clear();
            it->latest_grant_end = std::max(
                it->previous_grant_end, now + worst_case_hold_time(sent.order.hold_time));
        }
        else
        {
            it->is_released = true;
            it->handover = got.handover;
        }
        break;
    case order_end::stale:
        it->is_unresponsive = false;
        it->silent_grant_end.reset();
        it->is_rejecting = false;
        it->last_accepted_at = now;
        it->needs_higher_epoch = is_grant && sent.order.at == it->order_epoch();
        it->latest_grant_end = it->previous_grant_end;
        break;
    case order_end::other_server:
        it->is_unresponsive = true;
        it->latest_grant_end = now;
        it->unanswered_grant_end = now;
        it->predecessor_unanswered_end = now;
        it->predecessor_grant_end = now;
        it->next_order_at = now + unresponsive_retry_pause;
        break;
    case order_end::rejected:
    case order_end::not_sent:
        it->is_unresponsive = true;
        it->is_rejecting = got.end == order_end::rejected;
        it->latest_grant_end = it->previous_grant_end;
        it->next_order_at = now + unresponsive_retry_pause;
        break;
    case order_end::no_answer:
        it->is_unresponsive = true;
        it->next_order_at =
            now + (is_grant ? it->renewal_delay / 4 : release_retry_pause);
        it->unanswered_grant_end =
            is_grant ? it->latest_grant_end : it->unanswered_grant_end;
        if (is_grant)
        {
            it->silent_grant_end = it->silent_grant_end.value_or(it->latest_grant_end);
        }
        break;
    }
    note_disowned(*it, was_disowned);
}

} // namespace camphorrock
