#pragma once

// Runs each unrepeatable (non-idempotent) request for a shard's keys at most once. Each
// router has one gate per shard, which admits only requests of ranges that it has taken
// over. An id is recorded in the router's journal before its request is sent, and a
// router that takes a range over reads the journals of all routers first. See
// docs/DESIGN.md, "At most once".
//
//     once_gate gate(options, budget); // one budget for all gates of the router
//     gate.take_over(now, range, epoch{7});
//     gate.on_request_received(now, request);
//     for (once_action& it : gate.take_actions()) ...   // carry out the action
//     gate.on_append(now, number, store_end::done);    // report its result
//
// After each call the program carries out take_actions() and calls tick() at next_tick().
// The program answers every append, read, load, fence and run action by exactly one call.
//
// Guarantees:
//   - A run_action is given for an id only after its admitted_entry is in the journal,
//     and never if any journal of the shard shows that it may have run before. Exception:
//     if servers_deduplicate is set, ids may run while the store is unavailable, and an
//     unresolved id may run again.
//   - Every waiter gets exactly one answer, at its deadline at the latest, unless the
//     program reported that its caller has disconnected.
//   - `not_run` is answered only if the id has not run anywhere: while the range is held,
//     or if the run itself ended in `not_run`. A refusal for a range that is not held is
//     `unknown`, because another router may have run the id before.
//   - Memory stays within the options. An id over the budget is refused; no id is
//     forgotten within its retention.
//
// The gate does not ensure that the program sends only while it has authority;
// core/ownership decides that.

#include "core/base/result.hpp"
#include "core/config/recent_maximum.hpp"
#include "core/once/id_table.hpp"
#include "core/once/jittered_backoff.hpp"
#include "core/once/journal_writer.hpp"
#include "core/once/once_actions.hpp"
#include "core/once/once_options.hpp"
#include "core/once/range_claims.hpp"
#include "core/once/waiter_table.hpp"
#include "core/once/write_budget.hpp"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorrock
{

struct once_request
{
    waiter_id waiter;
    once_key key;
    std::uint64_t fingerprint = 0; // of the method, the path, the query and the body
    epoch since; // of the key's partition, in the record of the router that received it
    time_point deadline;
};

class once_gate
{
public:
    // `budget` must outlive the gate.
    once_gate(once_options options, write_budget& budget);

    // The router is the scheduler of this range as of this epoch.
    void take_over(time_point now, const hash_range& range, epoch since);

    // Stops admitting requests of the range. Leads to a released_action for each part of
    // it that this gate has taken over and not lost.
    void release(time_point now, const hash_range& range);

    // The range has another scheduler, or the authority for it has lapsed. No further
    // request is admitted or sent; runs in progress continue.
    void on_range_lost(time_point now, const hash_range& range);

    // The router may send to the servers of this shard until `until`; before the first
    // call, without limit. After that time no request is admitted or run, and no refusal
    // is `not_run`.
    void set_authority(time_point now, time_point until);

    // Ids that were recorded under an earlier retention are kept for that retention, by
    // this gate and by a gate that loads them. A longer retention applies to requests
    // that end from now on.
    void change_settings(time_point now, const once_settings& settings);

    void on_request_received(time_point now, const once_request& request);

    // The caller of this waiter has disconnected; the waiter gets no answer.
    void on_caller_disconnected(time_point now, waiter_id waiter);

    // The run ended. Its outcome is `not_run` if it was refused before any byte was sent,
    // or by the server itself.
    void on_run_finished(time_point now, run_id run, once_result result);

    void on_append(time_point now, std::uint64_t number, store_end end);
    void on_batch_read(time_point now,
                       std::uint64_t number,
                       bool is_read,
                       const std::optional<journal_batch>& found);

    // `batches`: all batches below journal/SHARD/, in any order; ignored if `is_read` is
    // false.
    void on_loaded(time_point now, bool is_read, std::vector<stored_batch> batches);
    void on_fence(time_point now,
                  const instance_id& router,
                  std::uint64_t number,
                  store_end end);

    void tick(time_point now);

    // The time at which the program must call tick(); none if only an event can cause
    // further actions.
    std::optional<time_point> next_tick() const;

    std::vector<once_action> take_actions();

    // True if requests for this hash at this epoch are admitted.
    bool is_ready(key_hash at, epoch since) const;

    std::size_t remembered_ids() const
    {
        return ids_.size();
    }

    std::size_t memory_bytes() const
    {
        return ids_.memory_bytes();
    }

private:
    // Requests and runs (once_gate.cpp)
    void begin_event(time_point now);
    void handle_known_id(time_point now, const once_request& request, id_row& row);
    void admit(time_point now, const once_request& request);
    void add_waiter(const once_request& request, id_row& row);
    void start_run(const once_key& key, id_row& row);
    void answer(waiter_id waiter,
                once_result result,
                once_reason reason,
                duration retry_after = {});
    void
    refuse(const once_request& request, once_reason reason, duration retry_after = {});
    once_result result_without_run(key_hash at, epoch since) const;
    void answer_finished(waiter_id waiter, const id_row& row);
    void expire_waiters(time_point now);
    void set_active(const once_key& key, bool is_active);
    duration store_retry_delay(time_point now) const;

    // The journal that this gate writes (once_gate_journal.cpp)
    void on_batch_report(time_point now, batch_report report);
    void on_entry_written(time_point now, const journal_entry& entry);
    void on_admitted(time_point now, const admitted_entry& entry);
    void on_released(const released_entry& entry);
    void on_batch_not_written(time_point now, batch_report report);
    void free_id(time_point now, const once_key& key, std::uint64_t fingerprint);
    void refuse_and_forget(const once_key& key, once_reason reason);
    void refuse_appending(once_reason reason, duration retry_after);
    void refuse_not_held();
    void refuse_waiters(const once_key& key,
                        id_row& row,
                        once_reason reason,
                        duration retry_after);
    bool is_held(key_hash at, epoch since) const;
    void apply_fences(const journal_batch& batch);
    void close_journal(time_point now);
    void renew_or_close_journal(time_point now);
    time_point journal_renewed_at() const;
    time_point next_renewal_check() const;

    // Take-overs, and the journals of other routers (once_gate_claims.cpp)
    void advance(time_point now);
    bool needs_load() const;
    void start_load(time_point now);
    void open_journal(time_point now);
    void push_claims(time_point now);
    void check_releases(time_point now);
    void merge(time_point now, const stored_batch& stored);
    void merge(time_point now, const instance_id& router, const admitted_entry& entry);
    void merge(time_point now, const instance_id& router, const finished_entry& entry);
    void evaluate_claims();
    id_row* insert_loaded(time_point now, const once_key& key, std::uint64_t fingerprint);

    once_options options_;
    write_budget& budget_;
    id_table ids_;
    waiter_table waiters_;
    journal_writer writer_;
    range_claims claims_;
    journal_view view_;
    std::vector<once_action> actions_;

    time_point now_; // of the event that is being handled
    time_point authority_until_ = time_point::max();
    std::unordered_map<std::uint64_t, once_key> runs_; // in progress, by run_id
    std::uint64_t last_run_id_ = 0;
    std::map<key_hash, unsigned> active_counts_; // ids appending or running, by hash

    jittered_backoff load_backoff_;
    bool is_renewing_ = false; // claims were queued again; no batch was written since
    bool is_loading_ = false;
    bool wants_refresh_ = false;            // a load is wanted to look for outcomes
    bool is_load_complete_ = false;         // the last load fitted the memory budget
    std::vector<fence_action> open_fences_; // not answered yet
    bool has_fence_failed_ = false;         // a fence of this round did not end in `done`
    std::optional<time_point> last_load_at_;

    recent_maximum loaded_retention_; // of ids that are loaded from journals
    // The shortest retention so far, in force since min_retention_since_. No batch of
    // this gate expires earlier, whichever store lease it is attached to.
    duration min_retention_;
    time_point min_retention_since_;
};

} // namespace camphorrock
