// The part of once_gate that handles the result of each append to its journal, and keeps
// the journal from expiring.

#include "core/once/once_gate.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

// Fractions of the retention, as divisors. After a quarter without a written batch the
// claims are written again, so that the journal never appears empty; after half of it, a
// journal that could not be written is closed and reopened.
constexpr int renew_divisor = 4;
constexpr int close_divisor = 2;

// True if a process with the same router name wrote the batch: an earlier incarnation, or
// one that runs at the same time. (A batch of fences alone comes from another router.)
// The batches of that process must be loaded before anything else is written.
bool is_of_another_process(const journal_batch& batch)
{
    return std::any_of(batch.entries.begin(),
                       batch.entries.end(),
                       [](const journal_entry& it)
                       { return !std::holds_alternative<fenced_entry>(it); });
}

} // namespace

void once_gate::on_append(time_point now, std::uint64_t number, store_end end)
{
    begin_event(now);
    on_batch_report(now, writer_.on_append(now, number, end));
    advance(now);
}

void once_gate::on_batch_read(time_point now,
                              std::uint64_t number,
                              bool is_read,
                              const std::optional<journal_batch>& found)
{
    begin_event(now);
    on_batch_report(now, writer_.on_batch_read(now, number, is_read, found));
    advance(now);
}

void once_gate::on_batch_report(time_point now, batch_report report)
{
    if (writer_.retry_at())
    {
        refuse_appending(once_reason::store_unavailable, store_retry_delay(now));
    }
    switch (report.status)
    {
    case batch_status::pending:
        break;
    case batch_status::written:
        is_renewing_ = false;
        for (const journal_entry& it : report.entries)
        {
            on_entry_written(now, it);
        }
        break;
    case batch_status::not_written:
    case batch_status::number_taken:
        on_batch_not_written(now, std::move(report));
        break;
    }
}

void once_gate::on_entry_written(time_point now, const journal_entry& entry)
{
    if (const auto* it = std::get_if<admitted_entry>(&entry))
    {
        on_admitted(now, *it);
    }
    if (const auto* it = std::get_if<claimed_entry>(&entry))
    {
        claims_.on_claim_written(*it);
    }
    if (const auto* it = std::get_if<released_entry>(&entry))
    {
        on_released(*it);
    }
}

void once_gate::on_admitted(time_point now, const admitted_entry& entry)
{
    id_row& row = *ids_.find(entry.key);
    if (is_held(entry.key.at, entry.since) && !row.waiters.empty())
    {
        return start_run(entry.key, row);
    }
    refuse_and_forget(entry.key, once_reason::not_scheduled);
    free_id(now, entry.key, entry.fingerprint);
}

void once_gate::on_released(const released_entry& entry)
{
    std::vector<claim_row> rows = claims_.rows();
    for (const claim_row& it : rows)
    {
        bool is_covered = entry.range.covers(it.range) && it.since == entry.since;
        if (is_covered && it.state == claim_state::releasing)
        {
            claims_.remove(it.range);
            actions_.push_back(released_action{it.range, it.since});
        }
    }
}

// Requests of the batch are refused unless they can go into a later batch. The other
// entries are queued again, in their order.
void once_gate::on_batch_not_written(time_point now, batch_report report)
{
    bool is_journal_shared =
        report.conflicting_batch && is_of_another_process(*report.conflicting_batch);
    if (report.conflicting_batch)
    {
        apply_fences(*report.conflicting_batch);
    }
    std::vector<journal_entry> kept;
    for (journal_entry& it : report.entries)
    {
        const auto* admitted = std::get_if<admitted_entry>(&it);
        if (admitted == nullptr)
        {
            kept.push_back(std::move(it));
            continue;
        }
        bool is_retried = report.conflicting_batch && !is_journal_shared &&
                          !ids_.find(admitted->key)->waiters.empty();
        if (is_retried)
        {
            kept.push_back(std::move(it));
            continue;
        }
        bool is_store_down = !report.conflicting_batch;
        refuse_and_forget(admitted->key,
                          is_store_down ? once_reason::store_unavailable
                                        : once_reason::not_scheduled);
    }
    writer_.push_front(now, std::move(kept));
    if (is_journal_shared)
    {
        close_journal(now);
    }
}

// Frees an id that was admitted and has not run.
void once_gate::free_id(time_point now, const once_key& key, std::uint64_t fingerprint)
{
    writer_.push(now, finished_entry{key, fingerprint, {outcome::not_run, 0, nullptr}});
    ids_.erase(key);
}

// Refuses all waiters of an id that was admitted but is not run, and forgets the id. Its
// admission may be in the journal or not.
void once_gate::refuse_and_forget(const once_key& key, once_reason reason)
{
    id_row& row = *ids_.find(key);
    refuse_waiters(key, row, reason, options_.initial_retry_delay);
    set_active(key, false);
    ids_.erase(key);
}

void once_gate::refuse_appending(once_reason reason, duration retry_after)
{
    ids_.for_each(
        [&](const once_key& key, id_row& row)
        {
            if (row.state == id_state::appending)
            {
                refuse_waiters(key, row, reason, retry_after);
            }
        });
}

// Refuses requests that were admitted and not run yet, and whose range is no longer held.
void once_gate::refuse_not_held()
{
    ids_.for_each(
        [&](const once_key& key, id_row& row)
        {
            if (row.state == id_state::appending && !is_held(key.at, row.since))
            {
                refuse_waiters(
                    key, row, once_reason::not_scheduled, options_.initial_retry_delay);
            }
        });
}

void once_gate::refuse_waiters(const once_key& key,
                               id_row& row,
                               once_reason reason,
                               duration retry_after)
{
    for (waiter_id it : std::exchange(row.waiters, {}))
    {
        answer(it, result_without_run(key.at, row.since), reason, retry_after);
    }
}

bool once_gate::is_held(key_hash at, epoch since) const
{
    const claim_row* row = claims_.find(at);
    return row != nullptr && row->since == since && now_ <= authority_until_ &&
           (row->state == claim_state::ready || row->state == claim_state::releasing);
}

void once_gate::apply_fences(const journal_batch& batch)
{
    for (const journal_entry& it : batch.entries)
    {
        if (const auto* fence = std::get_if<fenced_entry>(&it))
        {
            claims_.remove_fenced(*fence);
        }
    }
    refuse_not_held();
}

void once_gate::close_journal(time_point now)
{
    claims_.restart();
    std::vector<journal_entry> kept;
    for (journal_entry& it : writer_.close())
    {
        if (const auto* admitted = std::get_if<admitted_entry>(&it))
        {
            refuse_and_forget(admitted->key, once_reason::store_unavailable);
        }
        if (std::holds_alternative<finished_entry>(it))
        {
            kept.push_back(std::move(it));
        }
    }
    writer_.push_front(now, std::move(kept));
}

// Keeps the journal from appearing empty while this gate may still write to it.
void once_gate::renew_or_close_journal(time_point now)
{
    if (!writer_.is_open())
    {
        return;
    }
    duration age = now - journal_renewed_at();
    if (age >= min_retention_ / close_divisor)
    {
        close_journal(now);
    }
    else if (age >= min_retention_ / renew_divisor && !is_renewing_)
    {
        is_renewing_ = true;
        push_claims(now);
    }
}

// The time from which the age of the journal counts. It need not be earlier than
// min_retention_since_: a batch of a longer retention was written within half of that
// retention, so it has the other half left, which is more than half of the current one.
time_point once_gate::journal_renewed_at() const
{
    return std::max(writer_.last_written_batch_sent_at(), min_retention_since_);
}

time_point once_gate::next_renewal_check() const
{
    int divisor = is_renewing_ ? close_divisor : renew_divisor;
    return journal_renewed_at() + min_retention_ / divisor;
}

} // namespace camphorrock
