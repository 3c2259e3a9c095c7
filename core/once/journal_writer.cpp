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

bool is_urgent(const journal_entry& entry)
{
    return !std::holds_alternative<finished_entry>(entry);
}

} // namespace

journal_writer::journal_writer(const once_options& options)
    : options_(options), backoff_(options.first_retry, options.max_retry, options.writer),
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
    std::move(queue_.begin(), queue_.end(), std::back_inserter(left));
    batch_.clear();
    queue_.clear();
    urgent_ = 0;
    queued_since_.reset();
    is_open_ = false;
    is_answer_due_ = step_ == step::sent || step_ == step::reading;
    step_ = step::idle;
    may_be_written_ = false;
    return left;
}

void journal_writer::push(time_point now, journal_entry entry)
{
    urgent_ += is_urgent(entry) ? 1 : 0;
    queued_since_ = queued_since_.value_or(now);
    queue_.push_back(std::move(entry));
}

void journal_writer::push_front(time_point now, std::vector<journal_entry> entries)
{
    if (entries.empty())
    {
        return;
    }
    urgent_ += static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(), is_urgent));
    queued_since_ = std::min(now, queued_since_.value_or(now));
    queue_.insert(queue_.begin(),
                  std::make_move_iterator(entries.begin()),
                  std::make_move_iterator(entries.end()));
}

std::optional<once_action> journal_writer::poll(time_point now)
{
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
    }
    step_ = step::sent;
    return make_append();
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

std::optional<time_point> journal_writer::due() const
{
    if (queue_.empty())
    {
        return std::nullopt;
    }
    time_point earliest = sent_ ? *sent_ + options_.append_interval : *queued_since_;
    if (urgent_ > 0 || queue_.size() >= options_.max_batch_entries)
    {
        return earliest;
    }
    return std::max(earliest, *queued_since_ + options_.outcome_delay);
}

std::vector<journal_entry> journal_writer::take_batch()
{
    std::vector<journal_entry> taken;
    std::size_t bytes = 0;
    while (!queue_.empty() && taken.size() < options_.max_batch_entries)
    {
        bytes += size_of(queue_.front());
        if (!taken.empty() && bytes > options_.max_batch_bytes)
        {
            break;
        }
        urgent_ -= is_urgent(queue_.front()) ? 1 : 0;
        taken.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
    if (queue_.empty())
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
journal_writer::on_append(time_point now, std::uint64_t number, append_end end)
{
    if (step_ != step::sent || number != number_)
    {
        is_answer_due_ = false;
        return {};
    }
    if (end == append_end::done)
    {
        backoff_.on_success();
        return end_batch(batch_end::written);
    }
    if (end == append_end::conflict)
    {
        step_ = step::read;
        return {};
    }
    backoff_.on_failure(now);
    may_be_written_ = may_be_written_ || end == append_end::unknown;
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
