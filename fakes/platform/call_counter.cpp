#include "fakes/platform/call_counter.hpp"

#include <algorithm>

namespace camphorrock::fakes
{

void call_counter::count(time_point now)
{
    move_to(now);
    ++total_;
    ++current_;
    busiest_ = std::max(busiest_, current_);
}

std::uint64_t call_counter::last_second(time_point now)
{
    move_to(now);
    return last_;
}

void call_counter::move_to(time_point now)
{
    const std::int64_t at =
        std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
    if (at == second_)
    {
        return;
    }
    last_ = at == second_ + 1 ? current_ : 0;
    current_ = 0;
    second_ = at;
}

} // namespace camphorrock::fakes
