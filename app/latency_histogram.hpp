#pragma once

// A histogram of durations with logarithmic buckets, by Boost.Histogram. Memory is fixed
// at construction: one counter a bucket.

#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace camphorrock
{

// The buckets between `first` and `last` have the same ratio of their ends. Durations
// outside fall into one more bucket at each end.
struct latency_buckets
{
    duration first = microseconds(100);
    duration last = seconds(100);
    unsigned count = 36; // a ratio of 1.47, three decades of 12 buckets
};

// How many durations were at most `upper`.
struct cumulative_count
{
    duration upper;
    std::uint64_t count = 0;
};

class latency_histogram
{
public:
    explicit latency_histogram(latency_buckets buckets = {});
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;
    ~latency_histogram();

    // O(1).
    void record(duration value);

    std::uint64_t count() const;
    duration sum() const;
    duration max() const;

    // The upper end of the bucket that holds the given share (0 to 1) of all durations,
    // never above max(); zero while empty.
    duration quantile(double share) const;

    // The upper ends of all finite buckets with their cumulative counts, ascending.
    std::vector<cumulative_count> cumulative() const;

private:
    struct impl;
    std::unique_ptr<impl> parts_;
};

} // namespace camphorrock
