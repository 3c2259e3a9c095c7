#include "core/once/journal_writer.hpp"

#include <algorithm>
#include <iterator>

namespace camphorrock
{
namespace
{

constexpr std::size_t entry_overhead = 96; // bytes of kind, numbers and encoding

std::size_t size_of(const once_key& key)
{
    return key.caller.str().size() + key.id.str().size();
}

// An upper bound of the entry's size in the store, in bytes.
std::size_t size_of(const journal_entry& entry)
{
    std::size_t bytes = entry_overhead;
    if (const auto* it = std::get_if<admitted_entry>(&entry))
    {
        bytes += size_of(it->key);
    }
    if (const auto* it = std::get_if<finished_entry>(&entry))
    {
        bytes += size_of(it->key);
        bytes += it->result.payload ? 2 * it->result.payload->size() : 0;
    }
    return bytes;
}

// True if a request, a take-over or a release waits for the entry. Nothing waits for an
// outcome.
bool is_awaited(const journal_entry& entry)
{
    return !std::holds_alternative<finished_entry>(entry);
}

// An id that ran is not admitted again, so its outcome may be written after later
// entries. An id that did not run may be admitted again after this entry, so the order
// matters.
bool is_outcome_of_run(const journal_entry& entry)
{
    const auto* it = std::get_if<finished_entry>(&entry);
    return it != nullptr && it->result.end != outcome::not_run;
}

bool is_release(const journal_entry& entry)
{
    return std::holds_alternative<released_entry>(entry);
}

void move_all(std::deque<journal_entry>& from, std::vector<journal_entry>& to)
{
    std::move(from.begin(), from.end(), std::back_inserter(to));
    from.clear();
}

} // namespace

journal_writer::journal_writer(const once_options& options, write_budget& budget)
    : options_(options), budget_(budget),
      backoff_(options.initial_retry_delay, options.max_retry_delay, options.writer),
      writer_(options.writer)
{
}

void journal_writer::open(time_point now, std::uint64_t number)
{
    is_open_ = true;
    ++writer_;
    state_ = state::idle;
    batch_number_ = number;
    last_written_batch_sent_at_ = now;
}

std::vector<journal_entry> journal_writer::close()
{
    std::vector<journal_entry> unwritten = std::move(batch_);
    batch_.clear();
    move_all(ordered_entries_, unwritten);
    move_all(run_outcomes_, unwritten);
    awaited_count_ = 0;
    if (reservation_)
    {
        budget_.cancel(*reservation_);
        reservation_.reset();
    }
    queued_since_.reset();
    is_open_ = false;
    has_unanswered_call_ = state_ == state::appending || state_ == state::reading;
    state_ = state::idle;
    may_be_written_ = false;
    return unwritten;
}

void journal_writer::push(time_point now, journal_entry entry)
{
    awaited_count_ += is_awaited(entry) ? 1 : 0;
    queued_since_ = queued_since_.value_or(now);
    if (is_release(entry))
    {
        move_outcomes_before_release();
    }
    std::deque<journal_entry>& queue =
        is_outcome_of_run(entry) ? run_outcomes_ : ordered_entries_;
    queue.push_back(std::move(entry));
}

// The next router of a released range must find the outcomes of the range in the journal.
void journal_writer::move_outcomes_before_release()
{
    std::move(
        run_outcomes_.begin(), run_outcomes_.end(), std::back_inserter(ordered_entries_));
    run_outcomes_.clear();
}

void journal_writer::push_front(time_point now, std::vector<journal_entry> entries)
{
    if (entries.empty())
    {
        return;
    }
    awaited_count_ += static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(), is_awaited));
    queued_since_ = std::min(now, queued_since_.value_or(now));
    bool has_release = std::any_of(entries.begin(), entries.end(), is_release);
    auto middle = has_release ? entries.end()
                              : std::stable_partition(entries.begin(),
                                                      entries.end(),
                                                      [](const journal_entry& it)
                                                      { return !is_outcome_of_run(it); });
    ordered_entries_.insert(ordered_entries_.begin(),
                            std::make_move_iterator(entries.begin()),
                            std::make_move_iterator(middle));
    run_outcomes_.insert(run_outcomes_.begin(),
                         std::make_move_iterator(middle),
                         std::make_move_iterator(entries.end()));
}

std::optional<once_action> journal_writer::poll(time_point now)
{
    reserve_write(now);
    std::optional<time_point> at = next_poll();
    if (!at || now < *at)
    {
        return std::nullopt;
    }
    if (state_ == state::read_pending)
    {
        state_ = state::reading;
        return read_batch_action{batch_number_};
    }
    if (state_ == state::idle)
    {
        batch_ = pop_batch();
        first_append_at_ = now;
        reservation_.reset();
    }
    else
    {
        budget_.spend(now);
    }
    state_ = state::appending;
    return make_append();
}

// Reserves only when the batch could be written now, so that no reservation is held while
// the batch has to wait for another reason.
void journal_writer::reserve_write(time_point now)
{
    std::optional<time_point> at = next_poll();
    bool is_wanted = state_ == state::idle && at && *at <= now;
    if (is_wanted && !reservation_)
    {
        reservation_ = budget_.reserve(now);
    }
}

std::optional<time_point> journal_writer::next_poll() const
{
    std::optional<time_point> retry = backoff_.retry_at();
    switch (state_)
    {
    case state::read_pending:
    case state::resend_pending:
        return retry.value_or(time_point());
    case state::idle:
        break;
    default:
        return std::nullopt;
    }
    std::optional<time_point> at = batch_due_at();
    if (!at || !is_open_)
    {
        return std::nullopt;
    }
    return std::max(*at, retry.value_or(*at));
}

bool journal_writer::is_empty() const
{
    return ordered_entries_.empty() && run_outcomes_.empty();
}

bool journal_writer::is_urgent() const
{
    return awaited_count_ > 0 ||
           ordered_entries_.size() + run_outcomes_.size() >= options_.max_batch_entries;
}

std::optional<time_point> journal_writer::batch_due_at() const
{
    if (is_empty())
    {
        return std::nullopt;
    }
    if (reservation_)
    {
        return is_urgent() ? reservation_->earliest : reservation_->nominal;
    }
    return is_urgent() ? *queued_since_ : *queued_since_ + options_.outcome_delay;
}

std::vector<journal_entry> journal_writer::pop_batch()
{
    std::vector<journal_entry> taken;
    std::size_t bytes = 0;
    auto take = [&](std::deque<journal_entry>& queue)
    {
        while (!queue.empty() && taken.size() < options_.max_batch_entries)
        {
            bytes += size_of(queue.front());
            if (!taken.empty() && bytes > options_.max_batch_bytes)
            {
                return;
            }
            awaited_count_ -= is_awaited(queue.front()) ? 1 : 0;
            taken.push_back(std::move(queue.front()));
            queue.pop_front();
        }
    };
    take(ordered_entries_);
    take(run_outcomes_);
    if (is_empty())
    {
        queued_since_.reset();
    }
    return taken;
}

append_action journal_writer::make_append() const
{
    return append_action{batch_number_, journal_batch{writer_, batch_}};
}

batch_report journal_writer::finish_batch(batch_status status)
{
    batch_report report{status, std::move(batch_), std::nullopt};
    batch_.clear();
    state_ = state::idle;
    may_be_written_ = false;
    if (status != batch_status::not_written)
    {
        ++batch_number_;
    }
    if (status == batch_status::written)
    {
        last_written_batch_sent_at_ =
            first_append_at_.value_or(last_written_batch_sent_at_);
    }
    return report;
}

batch_report
journal_writer::on_append(time_point now, std::uint64_t number, store_end end)
{
    if (state_ != state::appending || number != batch_number_)
    {
        has_unanswered_call_ = false;
        return {};
    }
    if (end == store_end::done)
    {
        backoff_.on_success();
        return finish_batch(batch_status::written);
    }
    if (end == store_end::conflict)
    {
        state_ = state::read_pending;
        return {};
    }
    backoff_.on_failure(now);
    may_be_written_ = may_be_written_ || end == store_end::unknown;
    if (!may_be_written_)
    {
        return finish_batch(batch_status::not_written);
    }
    state_ = state::resend_pending;
    return {};
}

batch_report journal_writer::on_batch_read(time_point now,
                                           std::uint64_t number,
                                           bool is_read,
                                           const std::optional<journal_batch>& found)
{
    if (state_ != state::reading || number != batch_number_)
    {
        has_unanswered_call_ = false;
        return {};
    }
    if (!is_read)
    {
        backoff_.on_failure(now);
        state_ = state::read_pending;
        return {};
    }
    backoff_.on_success();
    if (!found)
    {
        state_ = state::resend_pending;
        return {};
    }
    if (found->writer == writer_)
    {
        return finish_batch(batch_status::written);
    }
    batch_report report = finish_batch(batch_status::number_taken);
    report.conflicting_batch = found;
    return report;
}

} // namespace camphorrock
