#pragma once

// The time types of core/. Code in core/ never reads a clock: callers pass the time of
// each event. The programs take it from CLOCK_BOOTTIME, which keeps running while an
// instance is suspended. Time points of different processes are not comparable, so only
// durations are sent over the network.

#include <chrono>
#include <cstdint>

namespace camphorrock
{

// The clock of time_point. It has no now(), so that code in core/ cannot read it.
struct boot_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// In milliseconds, rounded up.
constexpr std::int64_t whole_ms(duration of)
{
    return std::chrono::ceil<milliseconds>(of).count();
}

} // namespace camphorrock
