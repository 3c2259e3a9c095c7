#pragma once

// Writes one router's journal: gathers entries into batches, one batch in flight, with
// strictly consecutive numbers. A batch is written at a turn of the router's
// write_budget, and takes what has been pushed until then.
//
// Outcomes of runs go into the room that the other entries leave. They wait
// outcome_delay for such a batch, then ask for a turn of their own. A release goes after
// the outcomes that were pushed before it.
//
// A batch that ended in `unknown` is written again with the same content until the store
// says whose batch has that number: only one batch can ever have it. A batch that ended
// in `failed`, or met another writer's batch, was not written; its entries come back.

#include "core/base/time.hpp"
#include "core/once/backoff.hpp"
#include "core/once/once_actions.hpp"
#include "core/once/once_options.hpp"
#include "core/once/write_budget.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace camphorrock
{

// What has become of the batch in flight.
enum class batch_end
{
    pending,     // not known yet; see poll()
    written,     // its entries are in the journal
    not_written, // its entries are not, and never will be in this batch
    displaced,   // the same, since another writer's batch has the number; see `other`
};

struct batch_report
{
    batch_end end = batch_end::pending;
    std::vector<journal_entry> entries;
    std::optional<journal_batch> other;
};

class journal_writer
{
public:
    // `budget` must outlive the writer.
    journal_writer(const once_options& options, write_budget& budget);

    // Starts with this number. Entries that were pushed before are kept. Each opening
    // writes under a number of its own, so that a batch of an earlier opening that
    // arrives late is not taken for one of this.
    void open(time_point now, std::uint64_t number);

    // Forgets the batch in flight; open() must follow. Returns the entries that were not
    // known to be written.
    std::vector<journal_entry> close();

    void push(time_point now, journal_entry entry);

    // Puts entries before all others of their kind, in their order.
    void push_front(time_point now, std::vector<journal_entry> entries);

    // The call to make now, if one is due: an append_action or a read_batch_action.
    std::optional<once_action> poll(time_point now);

    batch_report on_append(time_point now, std::uint64_t number, store_end end);
    batch_report on_batch_read(time_point now,
                               std::uint64_t number,
                               bool is_read,
                               const std::optional<journal_batch>& found);

    // True while the call made before close() is not answered; open() must wait for it.
    bool is_answer_due() const
    {
        return is_answer_due_;
    }

    // The number under which this opening writes, and whether a batch is of this process.
    std::uint64_t writer() const
    {
        return writer_;
    }

    bool is_own(const journal_batch& batch) const
    {
        return options_.writer < batch.writer && batch.writer <= writer_;
    }

    bool is_open() const
    {
        return is_open_;
    }

    // The store did not take the last batch: nothing new should wait for it until then.
    std::optional<time_point> retry_at() const
    {
        return backoff_.next();
    }

    // When poll() may have a call to make.
    std::optional<time_point> next_poll() const;

    // When the newest batch known to be written was sent.
    time_point last_written() const
    {
        return last_written_;
    }

private:
    enum class step
    {
        idle,    // no batch in flight
        sent,    // waits for on_append
        resend,  // to be written again, at retry_at()
        read,    // to be read back
        reading, // waits for on_batch_read
    };

    bool is_empty() const;
    bool is_urgent() const;
    std::optional<time_point> due() const;
    void ask_turn(time_point now);
    std::vector<journal_entry> take_batch();
    void move_outcomes_before_release();
    append_action make_append() const;
    batch_report end_batch(batch_end end);

    once_options options_;
    write_budget& budget_;
    backoff backoff_;
    std::optional<write_turn> turn_; // for the next batch
    bool is_open_ = false;
    bool is_answer_due_ = false;
    step step_ = step::idle;
    std::uint64_t writer_;
    std::uint64_t number_ = 0;
    std::deque<journal_entry> queue_;        // whose order matters
    std::deque<journal_entry> outcomes_;     // of runs, in any order
    std::optional<time_point> queued_since_; // of the oldest entry
    std::size_t urgent_ = 0;                 // entries that someone waits for
    std::vector<journal_entry> batch_;       // in flight
    bool may_be_written_ = false;            // the batch once ended in `unknown`
    std::optional<time_point> sent_;         // the last batch's first sending
    time_point last_written_;
};

} // namespace camphorrock
