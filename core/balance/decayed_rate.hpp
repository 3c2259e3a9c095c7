#pragma once

// An exponentially decayed rate of events per second: an event one half-life ago counts
// half.
//
//     rate.add(1, now, half_life);
//     double per_second = rate.at(now, half_life);
//
// After a step of the true rate, half of the difference remains after one half-life.
// Takes 16 bytes; all calls are O(1). Times must not decrease. The caller stores the
// half-life and must pass the same one in each call.

#include "core/base/time.hpp"

#include <cmath>
#include <numbers>

namespace camphorrock
{

class decayed_rate
{
public:
    decayed_rate() = default;

    decayed_rate(double per_second, time_point now) : per_second_(per_second), at_(now) {}

    void add(double amount, time_point now, duration half_life)
    {
        per_second_ =
            at(now, half_life) + amount * std::numbers::ln2 / to_seconds(half_life);
        at_ = now;
    }

    // Events per second at `now`.
    double at(time_point now, duration half_life) const
    {
        return per_second_ * std::exp2(-to_seconds(now - at_) / to_seconds(half_life));
    }

private:
    static double to_seconds(duration value)
    {
        return std::chrono::duration<double>(value).count();
    }

    double per_second_ = 0; // at the time `at_`
    time_point at_;
};

} // namespace camphorrock
