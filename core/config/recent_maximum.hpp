#pragma once

// An upper bound on the duration of operations that may still be in progress, when the
// setting that limits their duration changes over time.
//
//     recent_maximum longest(options);
//     longest.set(service.max_request, now);   // after each change of the configuration
//     longest.at(now);                         // at least the latest value
//
// A lower value takes effect only when no operation that was started under a higher value
// can still be in progress: other instances may use the old configuration for
// `propagation_time`, and an operation that they start at its end may last as long as the
// old value permits. A higher value that this instance has not learned of yet is not
// included. So a caller that waits for an operation to end must know that its own
// configuration was current when the operation started, or later.
//
// O(replaced values). Memory: at most `max_replaced` rows; further ones share the last
// row.

#include "core/base/time.hpp"
#include "core/config/config_tracker.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorrock
{

struct recent_maximum_options
{
    // Within this time, every instance has a new configuration in force or refuses
    // requests.
    duration propagation_time = config_tracker_options().freshness_bound;
    std::int64_t clock_drift_ppm = 1000; // maximum between the clocks of two instances
    std::size_t max_replaced = 16;
};

class recent_maximum
{
public:
    explicit recent_maximum(recent_maximum_options options) : options_(options) {}

    // The setting has this value from now on.
    void set(duration value, time_point now);

    // The maximum of the current value and of the replaced ones that still count.
    duration at(time_point now) const;

private:
    struct replaced_value
    {
        duration value{};
        time_point counts_until;
    };

    duration with_drift(duration span) const;

    recent_maximum_options options_;
    duration value_{}; // zero before the first set()
    std::vector<replaced_value> replaced_;
};

} // namespace camphorrock
