#pragma once

// Exponential backoff with jitter: pauses between attempts that double with each failure
// and differ between processes, so that an outage does not end in a stampede.

#include "core/base/time.hpp"

#include <cstdint>
#include <random>

namespace camphorrock
{

class backoff
{
public:
    // `mean` is the mean of the first pause.
    backoff(duration mean, std::uint64_t seed);

    // The pause before the next attempt: between half and one and a half of the mean,
    // which then doubles, up to 16 times the first.
    duration next();

    // Begins anew, after a success.
    void reset();

private:
    duration first_mean_;
    duration mean_;
    std::mt19937_64 random_;
};

} // namespace camphorrock
