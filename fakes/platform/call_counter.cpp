#include "fakes/platform/call_counter.hpp"

#include <algorithm>

namespace camphorrock::fakes
{

void call_counter::count(time_point now)
{
    advance_to(now);
    ++total_;
    ++current_count_;
    busiest_count_ = std::max(busiest_count_, current_count_);
}

std::uint64_t call_counter::last_second(time_point now)
{
    advance_to(now);
    return last_count_;
}

void call_counter::advance_to(time_point now)
{
    const std::int64_t at =
        std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
    if (at == current_second_)
    {
        return;
    }
    last_count_ = at == current_second_ + 1 ? current_count_ : 0;
    current_count_ = 0;
    current_second_ = at;
}

} // namespace camphorrock::fakes
