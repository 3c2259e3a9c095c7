#include "fakes/relay/byte_lane.hpp"

namespace camphorrock
{
namespace
{

constexpr std::size_t max_held_bytes = 4UL * 1024 * 1024;

} // namespace

void byte_lane::silence()
{
    is_silent_ = true;
    chunks_.clear();
    held_bytes_ = 0;
}

void byte_lane::push(std::string bytes, const relay_fault& fault, time_point now)
{
    if (is_silent_ || bytes.empty())
    {
        return;
    }
    held_bytes_ += bytes.size();
    chunks_.push_back({std::move(bytes), due_of(fault, now)});
}

void byte_lane::push_end(const relay_fault& fault, time_point now)
{
    has_end_ = true;
    if (!is_silent_)
    {
        chunks_.push_back({"", due_of(fault, now)});
    }
}

std::string_view byte_lane::ready(const relay_fault& fault, time_point now) const
{
    bool is_due = !chunks_.empty() && chunks_.front().due <= now && !is_held(fault);
    return is_due ? std::string_view(chunks_.front().bytes) : std::string_view();
}

void byte_lane::written(std::size_t n)
{
    if (chunks_.empty())
    {
        return;
    }
    chunk& first = chunks_.front();
    first.bytes.erase(0, n);
    held_bytes_ -= n;
    if (first.bytes.empty())
    {
        chunks_.pop_front();
    }
}

bool byte_lane::take_end(const relay_fault& fault, time_point now)
{
    bool is_due = !chunks_.empty() && chunks_.front().bytes.empty() &&
                  chunks_.front().due <= now && !is_held(fault);
    if (is_due)
    {
        chunks_.pop_front();
        is_ended_ = true;
    }
    return is_due;
}

std::optional<time_point> byte_lane::next_due(const relay_fault& fault) const
{
    if (chunks_.empty() || is_held(fault))
    {
        return std::nullopt;
    }
    return chunks_.front().due;
}

bool byte_lane::is_full() const
{
    return held_bytes_ >= max_held_bytes;
}

bool byte_lane::is_held(const relay_fault& fault) const
{
    return fault.mode == relay_mode::stall && fault.applies_to(direction_);
}

time_point byte_lane::due_of(const relay_fault& fault, time_point now) const
{
    bool is_delayed = fault.mode == relay_mode::delay && fault.applies_to(direction_);
    return is_delayed ? now + fault.delay : now;
}

} // namespace camphorrock
