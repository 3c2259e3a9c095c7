#pragma once

// Exponential backoff without jitter.

#include "core/base/time.hpp"

#include <algorithm>

namespace camphorrock
{

// Returns `initial` doubled `doublings` times, at most `maximum`. Doublings beyond the
// 8th have no effect, so the multiplier never exceeds 256.
constexpr duration
exponential_backoff(duration initial, unsigned doublings, duration maximum)
{
    constexpr unsigned max_doublings = 8;
    return std::min(initial * (1U << std::min(doublings, max_doublings)), maximum);
}

} // namespace camphorrock
