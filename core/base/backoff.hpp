#pragma once

// A pause that doubles with each further failure.

#include "core/base/time.hpp"

#include <algorithm>

namespace camphorrock
{

// `first` after `doublings` doublings, at most `longest`. Beyond 8 doublings it grows no
// more.
constexpr duration doubled_pause(duration first, unsigned doublings, duration longest)
{
    constexpr unsigned max_doublings = 8;
    return std::min(first * (1U << std::min(doublings, max_doublings)), longest);
}

} // namespace camphorrock
