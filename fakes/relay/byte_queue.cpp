#include "fakes/relay/byte_queue.hpp"

namespace camphorrock
{
namespace
{

constexpr std::size_t max_buffered_bytes = 4UL * 1024 * 1024;

} // namespace

void byte_queue::silence()
{
    is_silenced_ = true;
    chunks_.clear();
    buffered_bytes_ = 0;
}

void byte_queue::push(std::string bytes, const relay_fault& fault, time_point now)
{
    if (is_silenced_ || bytes.empty())
    {
        return;
    }
    buffered_bytes_ += bytes.size();
    chunks_.push_back({std::move(bytes), due_time(fault, now)});
}

void byte_queue::push_end(const relay_fault& fault, time_point now)
{
    has_received_end_ = true;
    if (!is_silenced_)
    {
        chunks_.push_back({"", due_time(fault, now)});
    }
}

std::string_view byte_queue::ready_bytes(const relay_fault& fault, time_point now) const
{
    bool is_due = !chunks_.empty() && chunks_.front().due <= now && !is_stalled(fault);
    return is_due ? std::string_view(chunks_.front().bytes) : std::string_view();
}

void byte_queue::consume(std::size_t n)
{
    if (chunks_.empty())
    {
        return;
    }
    chunk& first = chunks_.front();
    first.bytes.erase(0, n);
    buffered_bytes_ -= n;
    if (first.bytes.empty())
    {
        chunks_.pop_front();
    }
}

bool byte_queue::pop_end(const relay_fault& fault, time_point now)
{
    bool is_due = !chunks_.empty() && chunks_.front().bytes.empty() &&
                  chunks_.front().due <= now && !is_stalled(fault);
    if (is_due)
    {
        chunks_.pop_front();
        is_end_popped_ = true;
    }
    return is_due;
}

std::optional<time_point> byte_queue::next_due(const relay_fault& fault) const
{
    if (chunks_.empty() || is_stalled(fault))
    {
        return std::nullopt;
    }
    return chunks_.front().due;
}

bool byte_queue::is_full() const
{
    return buffered_bytes_ >= max_buffered_bytes;
}

bool byte_queue::is_stalled(const relay_fault& fault) const
{
    return fault.mode == relay_mode::stall && fault.applies_to(direction_);
}

time_point byte_queue::due_time(const relay_fault& fault, time_point now) const
{
    bool is_delayed = fault.mode == relay_mode::delay && fault.applies_to(direction_);
    return is_delayed ? now + fault.delay : now;
}

} // namespace camphorrock
