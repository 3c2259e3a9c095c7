#pragma once

// How many of some events fall into the busiest span of a given length.

#include "core/base/time.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace camphorrock
{

// The most entries of the sorted `times` in any span of `window`, its end excluded, that
// begins at `from` or later. O(times).
inline std::size_t
busiest_window(const std::vector<time_point>& times, duration window, time_point from)
{
    auto first = std::lower_bound(times.begin(), times.end(), from);
    std::size_t most = 0;
    for (auto it = first; it != times.end(); ++it)
    {
        while (*it - *first >= window)
        {
            ++first;
        }
        most = std::max(most, static_cast<std::size_t>(it - first) + 1);
    }
    return most;
}

} // namespace camphorrock
