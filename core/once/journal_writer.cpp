#include "core/once/journal_writer.hpp"

#include <algorithm>
#include <iterator>

namespace camphorrock
{
namespace
{

constexpr std::size_t entry_overhead = 96; // JSON names, numbers and punctuation

std::size_t size_of(const once_key& key)
{
    return key.caller.str().size() + key.id.str().size();
}

// An upper estimate of the entry's size in the store.
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

bool is_awaited(const journal_entry& entry)
{
    return !std::holds_alternative<finished_entry>(entry);
}

// An id that ran is not admitted again, so its outcome may follow later entries. One that
// did not run may be admitted again after this entry.
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
      backoff_(options.first_retry, options.max_retry, options.writer),
      writer_(options.writer)
{
}

void journal_writer::open(time_point now, std::uint64_t number)
{
    is_open_ = true;
    ++writer_;
    step_ = step::idle;
    number_ = number;
    last_written_ = now;
}

std::vector<journal_entry> journal_writer::close()
{
    std::vector<journal_entry> left = std::move(batch_);
    batch_.clear();
    move_all(queue_, left);
    move_all(outcomes_, left);
    urgent_ = 0;
    if (turn_)
    {
        budget_.give_back(*turn_);
        turn_.reset();
    }
    queued_since_.reset();
    is_open_ = false;
    is_answer_due_ = step_ == step::sent || step_ == step::reading;
    step_ = step::idle;
    may_be_written_ = false;
    return left;
}

void journal_writer::push(time_point now, journal_entry entry)
{
    urgent_ += is_awaited(entry) ? 1 : 0;
    queued_since_ = queued_since_.value_or(now);
    if (is_release(entry))
    {
        move_outcomes_before_release();
    }
    std::deque<journal_entry>& queue = is_outcome_of_run(entry) ? outcomes_ : queue_;
    queue.push_back(std::move(entry));
}

// What a router releases shows its outcomes to the next one.
void journal_writer::move_outcomes_before_release()
{
    std::move(outcomes_.begin(), outcomes_.end(), std::back_inserter(queue_));
    outcomes_.clear();
}

void journal_writer::push_front(time_point now, std::vector<journal_entry> entries)
{
    if (entries.empty())
    {
        return;
    }
    urgent_ += static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(), is_awaited));
    queued_since_ = std::min(now, queued_since_.value_or(now));
    bool has_release = std::any_of(entries.begin(), entries.end(), is_release);
    auto middle = has_release ? entries.end()
                              : std::stable_partition(entries.begin(),
                                                      entries.end(),
                                                      [](const journal_entry& it)
                                                      { return !is_outcome_of_run(it); });
    queue_.insert(queue_.begin(),
                  std::make_move_iterator(entries.begin()),
                  std::make_move_iterator(middle));
    outcomes_.insert(outcomes_.begin(),
                     std::make_move_iterator(middle),
                     std::make_move_iterator(entries.end()));
}

std::optional<once_action> journal_writer::poll(time_point now)
{
    ask_turn(now);
    std::optional<time_point> at = next_poll();
    if (!at || now < *at)
    {
        return std::nullopt;
    }
    if (step_ == step::read)
    {
        step_ = step::reading;
        return read_batch_action{number_};
    }
    if (step_ == step::idle)
    {
        batch_ = take_batch();
        sent_ = now;
        turn_.reset();
    }
    else
    {
        budget_.spend(now);
    }
    step_ = step::sent;
    return make_append();
}

// Only when the batch could be written at once, so that no turn is kept for later.
void journal_writer::ask_turn(time_point now)
{
    std::optional<time_point> at = next_poll();
    bool is_wanted = step_ == step::idle && at && *at <= now;
    if (is_wanted && !turn_)
    {
        turn_ = budget_.reserve(now);
    }
}

std::optional<time_point> journal_writer::next_poll() const
{
    std::optional<time_point> retry = backoff_.next();
    switch (step_)
    {
    case step::read:
    case step::resend:
        return retry.value_or(time_point());
    case step::idle:
        break;
    default:
        return std::nullopt;
    }
    std::optional<time_point> at = due();
    if (!at || !is_open_)
    {
        return std::nullopt;
    }
    return std::max(*at, retry.value_or(*at));
}

bool journal_writer::is_empty() const
{
    return queue_.empty() && outcomes_.empty();
}

bool journal_writer::is_urgent() const
{
    return urgent_ > 0 || queue_.size() + outcomes_.size() >= options_.max_batch_entries;
}

std::optional<time_point> journal_writer::due() const
{
    if (is_empty())
    {
        return std::nullopt;
    }
    if (turn_)
    {
        return is_urgent() ? turn_->soonest : turn_->nominal;
    }
    return is_urgent() ? *queued_since_ : *queued_since_ + options_.outcome_delay;
}

std::vector<journal_entry> journal_writer::take_batch()
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
            urgent_ -= is_awaited(queue.front()) ? 1 : 0;
            taken.push_back(std::move(queue.front()));
            queue.pop_front();
        }
    };
    take(queue_);
    take(outcomes_);
    if (is_empty())
    {
        queued_since_.reset();
    }
    return taken;
}

append_action journal_writer::make_append() const
{
    return append_action{number_, journal_batch{writer_, batch_}};
}

batch_report journal_writer::end_batch(batch_end end)
{
    batch_report report{end, std::move(batch_), std::nullopt};
    batch_.clear();
    step_ = step::idle;
    may_be_written_ = false;
    if (end != batch_end::not_written)
    {
        ++number_;
    }
    if (end == batch_end::written)
    {
        last_written_ = sent_.value_or(last_written_);
    }
    return report;
}

batch_report
journal_writer::on_append(time_point now, std::uint64_t number, store_end end)
{
    if (step_ != step::sent || number != number_)
    {
        is_answer_due_ = false;
        return {};
    }
    if (end == store_end::done)
    {
        backoff_.on_success();
        return end_batch(batch_end::written);
    }
    if (end == store_end::conflict)
    {
        step_ = step::read;
        return {};
    }
    backoff_.on_failure(now);
    may_be_written_ = may_be_written_ || end == store_end::unknown;
    if (!may_be_written_)
    {
        return end_batch(batch_end::not_written);
    }
    step_ = step::resend;
    return {};
}

batch_report journal_writer::on_batch_read(time_point now,
                                           std::uint64_t number,
                                           bool is_read,
                                           const std::optional<journal_batch>& found)
{
    if (step_ != step::reading || number != number_)
    {
        is_answer_due_ = false;
        return {};
    }
    if (!is_read)
    {
        backoff_.on_failure(now);
        step_ = step::read;
        return {};
    }
    backoff_.on_success();
    if (!found)
    {
        step_ = step::resend;
        return {};
    }
    if (found->writer == writer_)
    {
        return end_batch(batch_end::written);
    }
    batch_report report = end_batch(batch_end::displaced);
    report.other = found;
    return report;
}

} // namespace camphorrock
