#pragma once

// Runs each unrepeatable request of a shard's keys at most once. One gate stands in each
// router for each shard; only requests of ranges that it has taken over pass it. See
// docs/DESIGN.md, "At most once".
//
//     once_gate gate(options, budget); // of all gates of the router
//     gate.take_over(now, range, epoch{7});
//     gate.arrive(now, request);
//     for (once_action& it : gate.take_actions()) ...   // carry out
//     gate.on_append(now, number, store_end::done);    // report what came of it
//
// After each call the program carries out take_actions() and calls tick() at next_tick().
// Every append, read, load, fence and run action is answered by exactly one call.
//
// What holds:
//   - run_action is given for an id only after its admitted_entry is in the journal, and
//     never where any journal of the shard shows that it may have run before;
//   - every waiter gets exactly one answer, at its deadline at the latest, unless the
//     program said that it is gone;
//   - `not_run` is answered only where the id has not run anywhere: while the range is
//     held, or where the run itself ended so. A refusal for a range that is not held is
//     `unknown`, since another router may have run an earlier attempt;
//   - memory stays within the options; an id over the budget is refused, none is
//   forgotten
//     within its retention.
//
// Not proven here: that the program sends only while it has authority; core/ownership
// decides that.

#include "core/base/result.hpp"
#include "core/config/recent_maximum.hpp"
#include "core/once/backoff.hpp"
#include "core/once/id_table.hpp"
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
    epoch since;                   // of the key's partition, as the entry router had it
    time_point deadline;
};

class once_gate
{
public:
    // `budget` must outlive the gate.
    once_gate(once_options options, write_budget& budget);

    // The router schedules this range from this epoch on.
    void take_over(time_point now, const hash_range& range, epoch since);

    // Stops admitting requests of the range; ends in a released_action for each part of
    // it that this gate had taken over and not lost.
    void release(time_point now, const hash_range& range);

    // The range has another scheduler, or the authority for it has lapsed. Nothing new is
    // admitted; what runs goes on.
    void lose(time_point now, const hash_range& range);

    // The router may send to the servers of this shard until then; without a call, for
    // ever. Past it nothing is admitted or run, and no refusal is `not_run`.
    void set_authority(time_point now, time_point until);

    // Ids that were recorded under an earlier retention are kept for that one, here or by
    // a gate that loads them; a longer one counts for those that end from now on.
    void change_settings(time_point now, const once_settings& settings);

    void arrive(time_point now, const once_request& request);

    // The caller of this waiter is gone; it gets no answer.
    void gone(time_point now, waiter_id waiter);

    // The run ended: `not_run` where it was refused before any byte was sent, or by the
    // server itself.
    void on_finished(time_point now, run_id run, once_result result);

    void on_append(time_point now, std::uint64_t number, store_end end);
    void on_batch_read(time_point now,
                       std::uint64_t number,
                       bool is_read,
                       const std::optional<journal_batch>& found);

    // `batches`: all that are below journal/SHARD/, in any order.
    void on_loaded(time_point now, bool is_read, std::vector<stored_batch> batches);
    void on_fence(time_point now,
                  const instance_id& router,
                  std::uint64_t number,
                  store_end end);

    void tick(time_point now);

    // None where nothing is to be done by time alone.
    std::optional<time_point> next_tick() const;

    std::vector<once_action> take_actions();

    // True where requests of this hash at this epoch are admitted.
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
    // Requests (once_gate.cpp)
    void begin(time_point now);
    void join(time_point now, const once_request& request, id_row& row);
    void admit(time_point now, const once_request& request);
    void attach(const once_request& request, id_row& row);
    void run(const once_key& key, id_row& row);
    void answer(waiter_id waiter,
                once_result result,
                once_reason reason,
                duration retry_after = {});
    void
    refuse(const once_request& request, once_reason reason, duration retry_after = {});
    once_result result_without_run(key_hash at, epoch since) const;
    void answer_ended(waiter_id waiter, const id_row& row);
    void expire_waiters(time_point now);
    void set_active(const once_key& key, bool is_active);
    duration store_wait(time_point now) const;

    // The own journal (once_gate_journal.cpp)
    void on_report(time_point now, batch_report report);
    void on_written(time_point now, const journal_entry& entry);
    void on_admitted(time_point now, const admitted_entry& entry);
    void on_released(const released_entry& entry);
    void on_displaced(time_point now, batch_report report);
    void cancel(time_point now, const once_key& key, std::uint64_t fingerprint);
    void forget_admitted(const once_key& key, once_reason reason);
    void refuse_appending(once_reason reason, duration wait);
    void refuse_not_held();
    void refuse_all(const once_key& key, id_row& row, once_reason reason, duration wait);
    bool is_held(key_hash at, epoch since) const;
    void apply_fences(const journal_batch& batch);
    void close_journal(time_point now);
    void keep_journal(time_point now);
    time_point journal_fresh_at() const;
    time_point next_keep() const;

    // The other journals (once_gate_claims.cpp)
    void pump(time_point now);
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
    std::unordered_map<std::uint64_t, once_key> runs_; // by run_id
    std::uint64_t last_run_ = 0;
    std::map<key_hash, unsigned> active_; // ids appending or running, by hash

    backoff load_backoff_;
    bool is_renewing_ = false; // the claims have been passed to the journal again
    bool is_loading_ = false;
    bool wants_load_ = false;          // to look for outcomes
    bool is_load_complete_ = false;    // the last load fitted the memory budget
    std::vector<fence_action> fences_; // not answered yet
    bool is_fence_lost_ = false;       // one of them did not end in `done`
    std::optional<time_point> last_load_;

    recent_maximum loaded_retention_; // of ids in the journals
    // The shortest retention so far: no batch of this gate's lapses sooner, whichever
    // store lease it has got. Counts from the given time, since when it is in force.
    duration journal_life_;
    time_point journal_life_from_;
};

} // namespace camphorrock
