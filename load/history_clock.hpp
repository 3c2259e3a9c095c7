#pragma once

// Converts the event loop's time to the time of a history record, in microseconds.

#include "codec/history.hpp"
#include "core/base/time.hpp"

namespace camphorrock
{

inline history_time to_history_time(time_point at)
{
    return static_cast<history_time>(at.time_since_epoch().count());
}

} // namespace camphorrock
