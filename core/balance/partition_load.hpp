#pragma once

// Measures the load of a shard's partitions, and which keys carry most of it.
//
//     load.set_partitions(ranges, now);  // when the record has changed
//     load.add(at, slot_seconds, now);   // for each request
//     for (const partition_sample& it : load.samples(now)) ...
//
// When partitions split or merge, the new ones start from what is known: a hot key's load
// goes to the part that holds the key, the rest is shared by the widths of the ranges.
// add is O(log partitions + counters). Memory: 40 bytes a partition.

#include "core/balance/decayed_rate.hpp"
#include "core/balance/hot_key_sketch.hpp"
#include "core/base/key_hash.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace camphorrock
{

struct partition_load_options
{
    duration half_life = seconds(5);
    std::size_t hot_counters = 32;
};

// The load of one partition, and its hottest key where that is counted.
struct partition_sample
{
    hash_range range;
    double load = 0; // per second, in the unit of add()
    std::optional<hot_key> hottest;
};

class partition_load
{
public:
    explicit partition_load(partition_load_options options);

    // The partitions from now on, sorted and without overlap. O(old + new + counters).
    void set_partitions(const std::vector<hash_range>& ranges, time_point now);

    // A request to that key; no effect where no partition holds it.
    void add(key_hash at, double amount, time_point now);

    // In the order of the ranges.
    std::vector<partition_sample> samples(time_point now) const;

    std::size_t size() const
    {
        return rows_.size();
    }

private:
    struct row
    {
        hash_range range;
        decayed_rate rate;
    };

    row* find(key_hash at);

    partition_load_options options_;
    hot_key_sketch hot_;
    std::vector<row> rows_; // sorted by range
};

} // namespace camphorrock
