#pragma once

// Time as the decisions see it. core/ never reads a clock: every event carries its time.
// The programs fill it from CLOCK_BOOTTIME, which goes on while an instance is suspended.
// Points of different processes are not comparable; only durations cross the network.

#include <chrono>

namespace camphorrock
{

// The clock behind time_point. It has no now() on purpose.
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

} // namespace camphorrock
