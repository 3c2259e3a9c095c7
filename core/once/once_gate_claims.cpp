// The part of once_gate that takes ranges over and releases them: decides when to load
// the shard's journals, merges them, and fences the journals of other routers.

#include "core/once/once_gate.hpp"

#include <algorithm>
#include <tuple>

namespace camphorrock
{

void once_gate::take_over(time_point now, const hash_range& range, epoch since)
{
    begin_event(now);
    const claim_row* current = claims_.find(range.first);
    if (current != nullptr && current->since == since && current->range.covers(range) &&
        current->state != claim_state::releasing)
    {
        return;
    }
    claims_.start_claim(range, since);
    if (writer_.is_open())
    {
        writer_.push(now, claimed_entry{range, since});
    }
    refuse_not_held();
    advance(now);
}

void once_gate::release(time_point now, const hash_range& range)
{
    begin_event(now);
    for (const claim_row& it : claims_.release(range))
    {
        actions_.push_back(released_action{it.range, it.since});
    }
    refuse_not_held();
    advance(now);
}

void once_gate::on_range_lost(time_point now, const hash_range& range)
{
    begin_event(now);
    claims_.remove(range);
    refuse_not_held();
    advance(now);
}

void once_gate::advance(time_point now)
{
    renew_or_close_journal(now);
    bool is_idle = !is_loading_ && open_fences_.empty();
    bool is_refresh_due =
        wants_refresh_ &&
        (!last_load_at_ || now - *last_load_at_ >= options_.refresh_interval);
    if (load_backoff_.is_due(now) && (needs_load() || (is_idle && is_refresh_due)))
    {
        start_load(now);
    }
    check_releases(now);
    while (std::optional<once_action> call = writer_.poll(now))
    {
        actions_.push_back(std::move(*call));
    }
}

// A load is needed to open the journal, and after each written claim: a range is not
// ready before a load that began after its claim was written.
bool once_gate::needs_load() const
{
    bool needs_open =
        !writer_.is_open() && !claims_.is_empty() && !writer_.has_unanswered_call();
    return !is_loading_ && open_fences_.empty() && (needs_open || claims_.needs_load());
}

void once_gate::start_load(time_point now)
{
    is_loading_ = true;
    wants_refresh_ = false;
    last_load_at_ = now;
    claims_.on_load_started();
    actions_.push_back(load_action{});
}

void once_gate::on_loaded(time_point now, bool is_read, std::vector<stored_batch> batches)
{
    begin_event(now);
    is_loading_ = false;
    is_load_complete_ = is_read;
    if (is_read)
    {
        std::sort(batches.begin(),
                  batches.end(),
                  [](const stored_batch& one, const stored_batch& other) {
                      return std::tie(one.router, one.number) <
                             std::tie(other.router, other.number);
                  });
        view_ = journal_view();
        for (const stored_batch& it : batches)
        {
            view_.apply(it);
            merge(now, it);
        }
    }
    if (!is_load_complete_)
    {
        load_backoff_.on_failure(now);
        claims_.on_load_failed();
        return advance(now);
    }
    load_backoff_.on_success();
    open_journal(now);
    evaluate_claims();
    advance(now);
}

void once_gate::open_journal(time_point now)
{
    if (writer_.is_open() || claims_.is_empty() || writer_.has_unanswered_call())
    {
        return;
    }
    writer_.open(now, view_.next_number(options_.router));
    push_claims(now);
}

void once_gate::push_claims(time_point now)
{
    for (const claim_row& it : claims_.rows())
    {
        if (it.state != claim_state::releasing)
        {
            writer_.push(now, claimed_entry{it.range, it.since});
        }
    }
}

void once_gate::check_releases(time_point now)
{
    for (claim_row& it : claims_.rows())
    {
        auto first = active_counts_.lower_bound(it.range.first);
        bool is_drained = first == active_counts_.end() || it.range.last < first->first;
        bool is_due = it.state == claim_state::releasing && !it.is_release_queued;
        if (is_due && is_drained && writer_.is_open())
        {
            it.is_release_queued = true;
            writer_.push(now, released_entry{it.range, it.since});
        }
    }
}

void once_gate::merge(time_point now, const stored_batch& stored)
{
    if (stored.router == options_.router && writer_.is_own(stored.batch))
    {
        return;
    }
    for (const journal_entry& it : stored.batch.entries)
    {
        if (const auto* admitted = std::get_if<admitted_entry>(&it))
        {
            merge(now, stored.router, *admitted);
        }
        if (const auto* finished = std::get_if<finished_entry>(&it))
        {
            merge(now, stored.router, *finished);
        }
    }
}

void once_gate::merge(time_point now,
                      const instance_id& router,
                      const admitted_entry& entry)
{
    id_row* row = ids_.find(entry.key);
    if (row == nullptr)
    {
        row = insert_loaded(now, entry.key, entry.fingerprint);
    }
    if (row == nullptr || row->state != id_state::unresolved)
    {
        return;
    }
    auto found = std::find(row->admitted_by.begin(), row->admitted_by.end(), router);
    if (found == row->admitted_by.end())
    {
        row->admitted_by.push_back(router);
    }
}

void once_gate::merge(time_point now,
                      const instance_id& router,
                      const finished_entry& entry)
{
    id_row* row = ids_.find(entry.key);
    if (entry.result.end == outcome::not_run)
    {
        if (row != nullptr && row->state == id_state::unresolved)
        {
            std::erase(row->admitted_by, router);
            if (row->admitted_by.empty())
            {
                ids_.erase(entry.key);
            }
        }
        return;
    }
    if (row == nullptr)
    {
        row = insert_loaded(now, entry.key, entry.fingerprint);
    }
    if (row != nullptr && row->state == id_state::unresolved)
    {
        row->admitted_by.clear();
        ids_.finish(*row, row->kept_until, entry.result);
    }
}

// Null if no row of claims_ contains the key, or if the memory budget is used up. In the
// latter case the load counts as failed, and the ranges that wait for it stay closed
// until a later load fits.
id_row*
once_gate::insert_loaded(time_point now, const once_key& key, std::uint64_t fingerprint)
{
    if (claims_.find(key.at) == nullptr)
    {
        return nullptr;
    }
    id_row* row = ids_.insert(key);
    if (row == nullptr)
    {
        is_load_complete_ = false;
        return nullptr;
    }
    row->state = id_state::unresolved;
    row->fingerprint = fingerprint;
    row->kept_until = now + loaded_retention_.at(now);
    return row;
}

void once_gate::evaluate_claims()
{
    auto fences = claims_.evaluate(options_.router, view_);
    for (auto& [router, entries] : fences)
    {
        journal_batch batch{writer_.writer(), {entries.begin(), entries.end()}};
        open_fences_.push_back({router, view_.next_number(router), std::move(batch)});
        budget_.spend(now_); // requests of the range wait for the fence
        actions_.push_back(open_fences_.back());
    }
}

void once_gate::on_fence(time_point now,
                         const instance_id& router,
                         std::uint64_t number,
                         store_end end)
{
    begin_event(now);
    auto found = std::find_if(open_fences_.begin(),
                              open_fences_.end(),
                              [&](const fence_action& it)
                              { return it.router == router && it.number == number; });
    if (found == open_fences_.end())
    {
        return;
    }
    if (end == store_end::done)
    {
        view_.apply({router, number, std::move(found->batch)});
    }
    else
    {
        has_fence_failed_ = true;
    }
    if (end == store_end::failed || end == store_end::unknown)
    {
        load_backoff_.on_failure(now);
    }
    open_fences_.erase(found);
    if (open_fences_.empty())
    {
        if (std::exchange(has_fence_failed_, false))
        {
            claims_.on_load_failed();
        }
        else
        {
            evaluate_claims();
        }
    }
    advance(now);
}

} // namespace camphorrock
