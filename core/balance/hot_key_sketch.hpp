#pragma once

// Finds the keys that carry much of the load with a fixed number of counters: the
// Space-Saving algorithm by Metwally, Agrawal and El Abbadi with exponentially decayed
// counters. Each key that carries more than 1/counters of the load has a counter. A
// counter overestimates its key's rate by at most the rate that it had when the key took
// it over.
//
// add is O(counters), of which there are few. Memory: 24 bytes per counter.

#include "core/base/key_hash.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <vector>

namespace camphorrock
{

struct hot_key
{
    key_hash at;
    double load = 0; // per second; a lower bound

    bool operator==(const hot_key&) const = default;
};

class hot_key_sketch
{
public:
    hot_key_sketch(std::size_t counters, duration half_life);

    // Adds `amount` of load to the key. Times must not decrease.
    void add(key_hash at, double amount, time_point now);

    // All keys that have a counter, in the order of their hashes.
    std::vector<hot_key> keys(time_point now) const;

private:
    // Rates as of `origin_`: later events get a larger weight, so that counters compare
    // without being decayed first (forward decay).
    struct counter
    {
        key_hash at;
        double rate = 0;
        double inherited = 0; // rate of the key that had the counter before
    };

    double weight_at(time_point now) const;
    void move_origin(time_point now);

    std::size_t max_counters_;
    duration half_life_;
    time_point origin_;
    std::vector<counter> counters_;
};

} // namespace camphorrock
