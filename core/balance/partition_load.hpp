#pragma once

// Measures the load of a shard's partitions and the keys that carry most of it.
//
//     load.set_partitions(ranges, now);  // when the record has changed
//     load.add(at, slot_seconds, now);   // for each request
//     for (const partition_sample& it : load.samples(now)) ...
//
// When partitions split or merge, the new ones start with estimates from the old ones: a
// hot key's load goes to the part that holds the key, and the rest is divided in
// proportion to the widths of the ranges. add is O(log partitions + counters). Memory: 40
// bytes per partition.

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

// The load of one partition, and its hottest key if one of its keys has a counter.
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

    // Replaces the partitions. `ranges` must be sorted and must not overlap.
    // O(old + new + counters).
    void set_partitions(const std::vector<hash_range>& ranges, time_point now);

    // Adds the load of one request to a key; no effect if no partition holds the key.
    void add(key_hash at, double amount, time_point now);

    // The partitions in the order of their ranges.
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

    // The partition that contains `at`, or null.
    row* find(key_hash at);

    partition_load_options options_;
    hot_key_sketch hot_;
    std::vector<row> rows_; // sorted by range
};

} // namespace camphorrock
