#pragma once

// Finds the keys that carry much of the load in a fixed number of counters (Space-Saving
// by Metwally, Agrawal and El Abbadi, with decaying counters). A key that carries more
// than 1/counters of the load has a counter; its rate is overestimated by at most the
// rate of the counter that it took over.
//
// add is O(counters), which are few. Memory: 24 bytes a counter.

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

    void add(key_hash at, double amount, time_point now);

    // All counted keys, in the order of their hashes.
    std::vector<hot_key> keys(time_point now) const;

private:
    // Values of the time `origin_`: a later event weighs more, so that nothing has to be
    // decayed to compare them.
    struct counter
    {
        key_hash at;
        double rate = 0;
        double inherited = 0; // from the key whose counter this one took over
    };

    double weight(time_point now) const;
    void move_origin(time_point now);

    std::size_t max_counters_;
    duration half_life_;
    time_point origin_;
    std::vector<counter> counters_;
};

} // namespace camphorrock
