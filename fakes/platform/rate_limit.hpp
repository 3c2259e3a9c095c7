#pragma once

// A token bucket. Admits a number of calls per second on average, and bursts of up to as
// many calls.

#include "core/base/time.hpp"

namespace camphorrock::fakes
{

class rate_limit
{
public:
    // 0: no limit.
    explicit rate_limit(double calls_per_second)
        : rate_(calls_per_second), tokens_(calls_per_second)
    {
    }

    bool admit(time_point now);

private:
    double rate_; // calls per second; also the capacity of the bucket
    double tokens_;
    time_point refilled_at_{};
};

} // namespace camphorrock::fakes
