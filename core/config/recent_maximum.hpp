#pragma once

// The longest duration under which something that was begun earlier may still last, while
// the setting that bounds it changes.
//
//     recent_maximum longest(options);
//     longest.set(service.max_request, now);   // after each change of the configuration
//     longest.at(now);                         // at least the value set last
//
// A lower value counts only once nothing begun under a higher one can last: other
// instances may go on with the old configuration for `spread`, and what they begin last
// then takes its time. A higher value that this instance has not learned of yet is not
// counted: who waits for something must know that its configuration was current when
// that was begun at the latest.
//
// O(values replaced). Memory: at most `max_replaced` rows; further ones share a row.

#include "core/base/time.hpp"
#include "core/config/config_tracker.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorrock
{

struct recent_maximum_options
{
    // Within it, every instance has a new configuration in force or refuses.
    duration spread = config_tracker_options().freshness_bound;
    std::int64_t clock_drift_ppm = 1000; // between two instances' clocks, at most
    std::size_t max_replaced = 16;
};

class recent_maximum
{
public:
    explicit recent_maximum(recent_maximum_options options) : options_(options) {}

    void set(duration value, time_point now);

    duration at(time_point now) const;

private:
    struct replaced_value
    {
        duration value{};
        time_point counts_until;
    };

    duration with_drift(duration span) const;

    recent_maximum_options options_;
    duration value_{}; // zero: none was set yet
    std::vector<replaced_value> replaced_;
};

} // namespace camphorrock
