#include "core/gateway/owners/key_assigner.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

// Authority ends this much before the lease does.
constexpr duration authority_margin = milliseconds(50);
constexpr duration release_retry_pause = milliseconds(200);
// After an accepted order, a refused key does not cause another grant for this long.
constexpr duration regrant_pause = milliseconds(50);
constexpr duration unresponsive_retry_pause = milliseconds(250);
// A shorter grant to an owner that does not answer is not worth an order.
constexpr duration min_silent_hold_time = milliseconds(100);
// With no more than this many reserved epochs left, a record is written to reserve more.
constexpr std::uint64_t min_spare_epochs = 100;

} // namespace

key_assigner::key_assigner(key_assigner_options options,
                           const key_assignment& record,
                           instance_id self,
                           time_point now,
                           store_era era,
                           const std::optional<grant_bound>& bound)
    : options_(options),
      self_(std::move(self)), version_{std::max(record.version.term + 1,
                                                first_number_of(era)),
                                       record.version.change + 1},
      next_epoch_{
          std::max<std::uint64_t>({record.epoch_limit.value, first_number_of(era), 1})},
      epoch_limit_{next_epoch_.value + options.epoch_block},
      predecessor_grants_end_(now + options.authority_ttl +
                              worst_case_hold_time(options.long_hold_time)),
      predecessor_orders_end_(now + options.authority_ttl), bound_stated_by_(now)
{
    for (const service_key_ranges& service : record.services)
    {
        keyed_service& row = service_row(service.service);
        for (const assigned_key_range& range : service.key_ranges)
        {
            range_state made;
            made.range = range;
            made.range.is_moving = false;
            made.predecessor_grant_end = predecessor_grants_end_;
            made.predecessor_unanswered_end = predecessor_grants_end_;
            made.last_accepted_at = now;
            row.key_ranges.push_back(std::move(made));
        }
    }
    // A record without ranges may be older than the first grants.
    const bool is_older =
        record.epoch_limit.value > 0 && era_of_number(record.epoch_limit.value) < era;
    if (is_older)
    {
        begin_uncertainty(now);
        return;
    }
    predecessor_ = assigner_term_end{record.writer, record.version.term, {}, {}};
    const bool is_of_predecessor =
        bound && bound->writer == record.writer && bound->term == record.version.term;
    if (is_of_predecessor)
    {
        predecessor_bound_ = bound;
        predecessor_check_.emplace(record);
    }
}

void key_assigner::lease_renewed(time_point sent)
{
    last_renewal_sent_at_ = std::max(last_renewal_sent_at_.value_or(sent), sent);
    failed_renewals_ = 0;
}

void key_assigner::lease_renewal_failed(time_point now)
{
    ++failed_renewals_;
    if (failed_renewals_ != options_.failures_to_unavailable)
    {
        return;
    }
    for (keyed_service& row : services_)
    {
        for (range_state& it : row.key_ranges)
        {
            it.next_order_at = it.target ? it.next_order_at : now;
        }
    }
}

bool key_assigner::is_store_available(time_point now) const
{
    return failed_renewals_ < options_.failures_to_unavailable &&
           now - *last_renewal_sent_at_ <= options_.store_unavailable_after;
}

bool key_assigner::has_authority(time_point now) const
{
    return last_renewal_sent_at_ &&
           now < *last_renewal_sent_at_ + options_.authority_ttl - authority_margin;
}

std::optional<assigner_term_end> key_assigner::term_end(time_point now) const
{
    if (is_first_record_pending_)
    {
        return std::nullopt;
    }
    time_point last = now;
    time_point last_unanswered = now;
    for (const keyed_service& row : services_)
    {
        for (const range_state& it : row.key_ranges)
        {
            last = std::max(last, it.grants_end());
            last_unanswered = std::max(last_unanswered, it.unanswered_grants_end());
        }
    }
    return assigner_term_end{self_,
                             version_.term,
                             std::chrono::ceil<milliseconds>(last - now),
                             std::chrono::ceil<milliseconds>(last_unanswered - now)};
}

bool key_assigner::predecessor_ended(const assigner_term_end& got, time_point now)
{
    const bool is_predecessor = predecessor_ && predecessor_->writer == got.writer &&
                                predecessor_->term == got.term;
    if (!is_predecessor)
    {
        return false;
    }
    const time_point last = now + got.grants_left;
    const time_point last_unanswered = now + got.unanswered_grants_left;
    for (keyed_service& row : services_)
    {
        for (range_state& it : row.key_ranges)
        {
            it.predecessor_grant_end = std::min(it.predecessor_grant_end, last);
            it.predecessor_unanswered_end =
                std::min(it.predecessor_unanswered_end, last_unanswered);
        }
    }
    return true;
}

key_assigner::keyed_service& key_assigner::service_row(const service_name& name)
{
    for (keyed_service& it : services_)
    {
        if (it.name == name)
        {
            return it;
        }
    }
    keyed_service& made = services_.emplace_back();
    made.name = name;
    return made;
}

void key_assigner::add_load(const service_name& service, shard_key key, time_point now)
{
    service_row(service).load.add(key, now);
}

void key_assigner::not_owned(const service_name& service, shard_key key, time_point now)
{
    for (range_state& it : service_row(service).key_ranges)
    {
        if (!it.range.keys.contains(key))
        {
            continue;
        }
        const bool was_disowned = it.is_disowned();
        it.is_refused = true;
        note_disowned(it, was_disowned);
        const bool is_due = !it.target && now - it.last_accepted_at >
                                              regrant_pause + it.renewal_delay / 4;
        if (is_due)
        {
            it.next_order_at = std::min(it.next_order_at, now);
        }
    }
}

// Counts a change if the range's owner has become, or is no longer, one that serves
// nobody.
void key_assigner::note_disowned(const range_state& it, bool was_disowned)
{
    if (it.is_disowned() != was_disowned)
    {
        count_change();
    }
}

// The time for which a grant of `hold_time` may be in force by a slow clock, plus the
// margin.
duration key_assigner::worst_case_hold_time(duration hold_time) const
{
    const auto longer = static_cast<double>(hold_time.count()) * (1.0 + options_.drift);
    return duration(static_cast<duration::rep>(longer)) + options_.expiry_margin;
}

duration key_assigner::current_hold_time(time_point now) const
{
    return is_store_down(now) && may_give_long_grants() ? options_.long_hold_time
                                                        : options_.hold_time;
}

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

epoch key_assigner::allocate_epoch()
{
    return epoch{next_epoch_.value++};
}

std::vector<key_order> key_assigner::tick(const assigner_view& view, time_point now)
{
    std::vector<key_order> orders;
    if (!has_authority(now))
    {
        return orders;
    }
    const bool was_available =
        std::exchange(was_store_available_, is_store_available(now));
    if (was_available && !was_store_available_)
    {
        hasten_slow_renewals(now);
    }
    check_predecessor_notice(view, now);
    update_notice(now);
    for (const service_name& name : view.keyed_services)
    {
        keyed_service& row = service_row(name);
        const bool can_plan = !pending_record_ && !is_first_record_pending_ &&
                              next_epoch_.value + min_spare_epochs < epoch_limit_.value;
        if (can_plan && may_move(now))
        {
            plan(row, view, now);
        }
        if (!may_move(now))
        {
            cancel_unsent_moves(row);
        }
        for (range_state& it : row.key_ranges)
        {
            add_due_order(row, it, view, now, orders);
        }
    }
    return orders;
}

// True if the store is likely to accept a record.
bool key_assigner::may_move(time_point now) const
{
    return failed_renewals_ == 0 && now - *last_renewal_sent_at_ <= options_.max_plan_age;
}

// The owner of a range keeps it if no release has been sent to it. Ranges without an
// owner wait for the record that gives them one.
void key_assigner::cancel_unsent_moves(keyed_service& row)
{
    for (range_state& it : row.key_ranges)
    {
        const bool is_unsent = it.target && it.release_epoch && !it.is_release_sent;
        if (is_unsent && !pending_record_)
        {
            it.target.reset();
            it.release_epoch.reset();
            count_change();
        }
    }
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
    if (next_epoch_.value + min_spare_epochs >= epoch_limit_.value)
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

key_assignment key_assigner::published() const
{
    key_assignment made;
    made.version = version_;
    made.writer = self_;
    made.epoch_limit = epoch_limit_;
    for (const keyed_service& row : services_)
    {
        service_key_ranges& service = made.services.emplace_back();
        service.service = row.name;
        for (const range_state& it : row.key_ranges)
        {
            if (it.range.owner.empty())
            {
                continue;
            }
            service.key_ranges.push_back(it.range);
            const bool is_released_soon =
                it.target && it.release_epoch && !it.is_unresponsive;
            service.key_ranges.back().is_moving = is_released_soon || it.is_disowned();
        }
    }
    return made;
}

} // namespace camphorrock
