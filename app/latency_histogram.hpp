#pragma once

// A histogram of durations with logarithmic buckets, by Boost.Histogram. Its memory is
// fixed at construction: one counter per bucket.

#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace camphorrock
{

// Divides the range from `first` to `last` into `count` buckets of equal ratio between
// upper and lower end. One more bucket at each end takes the durations outside the range.
struct latency_buckets
{
    duration first = microseconds(100);
    duration last = seconds(100);
    unsigned count = 36; // a ratio of 1.47: six decades of six buckets
};

// The number of recorded durations that are at most `upper`.
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

    // Returns the upper end of the bucket that holds the given quantile (0 to 1), at most
    // max(). Zero if nothing is recorded. O(number of buckets).
    duration quantile(double fraction) const;

    // The upper ends of all finite buckets with their cumulative counts, ascending.
    std::vector<cumulative_count> cumulative_counts() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace camphorrock
