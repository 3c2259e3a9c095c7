// The gate's own journal: what follows from each batch that was written or was not.

#include "core/once/once_gate.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

// The parts of the retention after which claims are written again, so that the journal
// never looks empty, and after which a journal that could not be written is reopened.
constexpr int renew_divisor = 4;
constexpr int close_divisor = 2;

// A process of the same name, from before a restart or at the same time, writes to the
// journal too. Its batches are read before anything else is written.
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
    begin(now);
    on_report(now, writer_.on_append(now, number, end));
    pump(now);
}

void once_gate::on_batch_read(time_point now,
                              std::uint64_t number,
                              bool is_read,
                              const std::optional<journal_batch>& found)
{
    begin(now);
    on_report(now, writer_.on_batch_read(now, number, is_read, found));
    pump(now);
}

void once_gate::on_report(time_point now, batch_report report)
{
    if (writer_.retry_at())
    {
        refuse_appending(once_reason::store_unavailable, store_wait(now));
    }
    switch (report.end)
    {
    case batch_end::pending:
        break;
    case batch_end::written:
        is_renewing_ = false;
        for (const journal_entry& it : report.entries)
        {
            on_written(now, it);
        }
        break;
    case batch_end::not_written:
    case batch_end::displaced:
        on_displaced(now, std::move(report));
        break;
    }
}

void once_gate::on_written(time_point now, const journal_entry& entry)
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
        return run(entry.key, row);
    }
    forget_admitted(entry.key, once_reason::not_scheduled);
    cancel(now, entry.key, entry.fingerprint);
}

void once_gate::on_released(const released_entry& entry)
{
    std::vector<claim_row> rows = claims_.rows();
    for (const claim_row& it : rows)
    {
        bool is_covered = entry.range.covers(it.range) && it.since == entry.since;
        if (is_covered && it.state == claim_state::releasing)
        {
            claims_.drop(it.range);
            actions_.push_back(released_action{it.range, it.since});
        }
    }
}

// The batch was not written. Its requests are refused where they cannot go into another;
// the other entries are written later, in their order.
void once_gate::on_displaced(time_point now, batch_report report)
{
    bool is_shared = report.other && is_of_another_process(*report.other);
    if (report.other)
    {
        apply_fences(*report.other);
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
        bool is_retried =
            report.other && !is_shared && !ids_.find(admitted->key)->waiters.empty();
        if (is_retried)
        {
            kept.push_back(std::move(it));
            continue;
        }
        bool is_store_down = !report.other;
        forget_admitted(admitted->key,
                        is_store_down ? once_reason::store_unavailable
                                      : once_reason::not_scheduled);
    }
    writer_.push_front(now, std::move(kept));
    if (is_shared)
    {
        close_journal(now);
    }
}

// Frees an id that was admitted and will not run.
void once_gate::cancel(time_point now, const once_key& key, std::uint64_t fingerprint)
{
    writer_.push(now, finished_entry{key, fingerprint, {outcome::not_run, 0, nullptr}});
    ids_.erase(key);
}

// Ends an id whose admission is not in the journal, or was but did not lead to a run.
void once_gate::forget_admitted(const once_key& key, once_reason reason)
{
    id_row& row = *ids_.find(key);
    refuse_all(key, row, reason, options_.first_retry);
    set_active(key, false);
    ids_.erase(key);
}

void once_gate::refuse_appending(once_reason reason, duration wait)
{
    ids_.for_each(
        [&](const once_key& key, id_row& row)
        {
            if (row.state == id_state::appending)
            {
                refuse_all(key, row, reason, wait);
            }
        });
}

// Refuses what was admitted for ranges that are held no more and has not run.
void once_gate::refuse_not_held()
{
    ids_.for_each(
        [&](const once_key& key, id_row& row)
        {
            if (row.state == id_state::appending && !is_held(key.at, row.since))
            {
                refuse_all(key, row, once_reason::not_scheduled, options_.first_retry);
            }
        });
}

void once_gate::refuse_all(const once_key& key,
                           id_row& row,
                           once_reason reason,
                           duration wait)
{
    for (waiter_id it : std::exchange(row.waiters, {}))
    {
        answer(it, result_without_run(key.at, row.since), reason, wait);
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
            claims_.drop_fenced(*fence);
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
            forget_admitted(admitted->key, once_reason::store_unavailable);
        }
        if (std::holds_alternative<finished_entry>(it))
        {
            kept.push_back(std::move(it));
        }
    }
    writer_.push_front(now, std::move(kept));
}

// Keeps the journal from looking empty while this gate may still write to it.
void once_gate::keep_journal(time_point now)
{
    if (!writer_.is_open())
    {
        return;
    }
    duration age = now - journal_fresh_at();
    if (age >= journal_life_ / close_divisor)
    {
        close_journal(now);
    }
    else if (age >= journal_life_ / renew_divisor && !is_renewing_)
    {
        is_renewing_ = true;
        push_claims(now);
    }
}

// A batch of a longer retention than the current one has more than this one's half left,
// since it was written within half of its own.
time_point once_gate::journal_fresh_at() const
{
    return std::max(writer_.last_written(), journal_life_from_);
}

time_point once_gate::next_keep() const
{
    int divisor = is_renewing_ ? close_divisor : renew_divisor;
    return journal_fresh_at() + journal_life_ / divisor;
}

} // namespace camphorrock
