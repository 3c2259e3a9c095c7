#include "core/gateway/owners/key_assigner.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

// Authority ends this much before the lease does.
constexpr duration authority_margin = milliseconds(50);
// After an accepted order, a refused key does not cause another grant for this long.
constexpr duration regrant_pause = milliseconds(50);

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
    if (bound && is_predecessor(bound->writer, bound->term))
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
    hasten_grants(now);
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
    if (!is_predecessor(got.writer, got.term))
    {
        return false;
    }
    limit_predecessor_ends(now + got.grants_left, now + got.unanswered_grants_left);
    return true;
}

bool key_assigner::is_predecessor(const instance_id& writer, std::uint64_t term) const
{
    return predecessor_ && predecessor_->writer == writer && predecessor_->term == term;
}

void key_assigner::limit_predecessor_ends(time_point grant_end, time_point unanswered_end)
{
    for (keyed_service& row : services_)
    {
        for (range_state& it : row.key_ranges)
        {
            it.predecessor_grant_end = std::min(it.predecessor_grant_end, grant_end);
            it.predecessor_unanswered_end =
                std::min(it.predecessor_unanswered_end, unanswered_end);
        }
    }
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
        const bool can_plan =
            !pending_record_ && !is_first_record_pending_ && has_spare_epochs();
        if (can_plan && may_move(now))
        {
            plan(row, view, now);
        }
        if (!may_move(now))
        {
            cancel_unsent_moves(row);
        }
        drop_cancelled_moves(row, view, now);
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
            it.is_evacuating = false;
            count_change();
        }
    }
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
