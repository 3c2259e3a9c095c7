#pragma once

// The time of a record from the loop's time.

#include "codec/history.hpp"
#include "core/base/time.hpp"

namespace camphorrock
{

inline history_time to_history(time_point at)
{
    return static_cast<history_time>(at.time_since_epoch().count());
}

} // namespace camphorrock
