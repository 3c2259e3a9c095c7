#pragma once

// A token bucket: admits a number of calls a second, and up to that many at once.

#include "core/base/time.hpp"

namespace camphorrock::fakes
{

class rate_limit
{
public:
    // 0 admits everything.
    explicit rate_limit(double calls_per_second)
        : rate_(calls_per_second), tokens_(calls_per_second)
    {
    }

    bool admit(time_point now);

private:
    double rate_;
    double tokens_;
    time_point last_{};
};

} // namespace camphorrock::fakes
