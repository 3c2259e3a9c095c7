#pragma once

// Writes one router's journal of one shard. Entries are gathered into batches with
// strictly consecutive numbers, of which at most one is in flight. A batch is written at
// the time of its reservation in the router's write_budget and contains what has been
// pushed by then.
//
// Outcomes of runs fill the space that other entries leave in a batch. If no batch is
// written within outcome_delay, they reserve a write of their own. A release is written
// after all outcomes that were pushed before it.
//
// A batch whose append ended in `unknown` is written again with the same content until
// the store reports which batch has that number: only one batch can ever have it. A batch
// whose append ended in `failed`, or whose number another writer's batch has, was not
// written; its entries are returned.

#include "core/base/time.hpp"
#include "core/once/jittered_backoff.hpp"
#include "core/once/once_actions.hpp"
#include "core/once/once_options.hpp"
#include "core/once/write_budget.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace camphorrock
{

// The state of the batch in flight after an answer of the store.
enum class batch_status
{
    pending,      // not known yet; poll() gives the next call
    written,      // its entries are in the journal
    not_written,  // its entries are not in the journal, and this batch never will be
    number_taken, // not written: `conflicting_batch` of another writer has the number
};

struct batch_report
{
    batch_status status = batch_status::pending;
    std::vector<journal_entry> entries;             // of the batch, unless `pending`
    std::optional<journal_batch> conflicting_batch; // for `number_taken`
};

class journal_writer
{
public:
    // `budget` must outlive the writer.
    journal_writer(const once_options& options, write_budget& budget);

    // Starts writing at this batch number. Entries that were pushed before are kept. Each
    // opening uses a new writer(), so that a batch of an earlier opening that arrives
    // late is not mistaken for one of this opening.
    void open(time_point now, std::uint64_t number);

    // Abandons the batch in flight; nothing is written until the next open(). Returns the
    // entries that are not known to be written.
    std::vector<journal_entry> close();

    void push(time_point now, journal_entry entry);

    // Queues entries, in their order, before all others of their queue.
    void push_front(time_point now, std::vector<journal_entry> entries);

    // The call that the program must make now: an append_action or a read_batch_action;
    // none if no call is due.
    std::optional<once_action> poll(time_point now);

    // The store answered the append or the read of batch `number`. `is_read` is false if
    // the read failed; `found` is none if there is no such batch.
    batch_report on_append(time_point now, std::uint64_t number, store_end end);
    batch_report on_batch_read(time_point now,
                               std::uint64_t number,
                               bool is_read,
                               const std::optional<journal_batch>& found);

    // True while a call made before close() is unanswered; open() must wait for its
    // answer.
    bool has_unanswered_call() const
    {
        return has_unanswered_call_;
    }

    // Identifies this opening; stored in each batch that it writes.
    std::uint64_t writer() const
    {
        return writer_;
    }

    // True if this process wrote the batch, in this opening or an earlier one.
    bool is_own(const journal_batch& batch) const
    {
        return options_.writer < batch.writer && batch.writer <= writer_;
    }

    bool is_open() const
    {
        return is_open_;
    }

    // After a failed call of the store: the time of the next one, until which no new
    // request should wait for the journal. None if the last call succeeded.
    std::optional<time_point> retry_at() const
    {
        return backoff_.retry_at();
    }

    // The time at which poll() may return a call; none if only an event can cause one.
    std::optional<time_point> next_poll() const;

    // The time of the first append of the newest batch that is known to be written, or of
    // open() if there is none yet.
    time_point last_written_batch_sent_at() const
    {
        return last_written_batch_sent_at_;
    }

private:
    enum class state
    {
        idle,           // no batch in flight
        appending,      // waits for on_append
        resend_pending, // the batch is to be appended again at retry_at()
        read_pending,   // the batch of this number is to be read at retry_at()
        reading,        // waits for on_batch_read
    };

    bool is_empty() const;
    bool is_urgent() const; // the next batch need not wait for further outcomes
    std::optional<time_point> batch_due_at() const;
    void reserve_write(time_point now);
    std::vector<journal_entry> pop_batch();
    void move_outcomes_before_release();
    append_action make_append() const;
    batch_report finish_batch(batch_status status);

    once_options options_;
    write_budget& budget_;
    jittered_backoff backoff_;
    std::optional<write_reservation> reservation_; // for the next batch
    bool is_open_ = false;
    bool has_unanswered_call_ = false; // made before close()
    state state_ = state::idle;
    std::uint64_t writer_;
    std::uint64_t batch_number_ = 0;            // of the batch in flight, or the next one
    std::deque<journal_entry> ordered_entries_; // written in the order of push()
    std::deque<journal_entry> run_outcomes_;    // written in any order, after the others
    std::optional<time_point> queued_since_;    // when the queues became non-empty
    std::size_t awaited_count_ = 0;             // queued entries that something waits for
    std::vector<journal_entry> batch_;          // in flight
    bool may_be_written_ = false;               // an append of batch_ ended in `unknown`
    std::optional<time_point> first_append_at_; // of the last batch
    time_point last_written_batch_sent_at_;
};

} // namespace camphorrock
