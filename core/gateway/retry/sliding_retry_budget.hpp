#pragma once

// Limits the retries to one service, over a sliding window: a ratio of the first attempts
// in the window plus a fixed slack. The limit applies to all gateways together, so each
// gateway applies the ratio to its own first attempts and has its part of the slack.
//
//     budget.record_first_attempt(now);
//     if (budget.try_spend_retry(now)) ... // send the retry
//
// The window is counted in `slice_count` slices, so attempts leave it up to one slice
// early. Memory: two counts per slice. Asking for a retry costs O(slice_count).

#include "core/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorrock
{

struct sliding_retry_budget_options
{
    double ratio = 0.2; // retries per first attempt
    double slack = 0;   // retries per window beyond the ratio; this gateway's part
    duration window = seconds(10);
};

class sliding_retry_budget
{
public:
    explicit sliding_retry_budget(sliding_retry_budget_options options)
        : options_(options)
    {
    }

    void set_slack(double slack)
    {
        options_.slack = slack;
    }

    void record_first_attempt(time_point now);

    // True if the window allows one more retry.
    bool allows_retry(time_point now);

    // Takes one retry from the budget. Returns false if the window allows no more.
    bool try_spend_retry(time_point now);

private:
    static constexpr std::size_t slice_count = 20;

    struct slice
    {
        std::int64_t index = -1; // of the slice, counted from time zero; -1: unused
        unsigned first_attempts = 0;
        unsigned retries = 0;
    };

    // Returns the slice of `now`, cleared if it last counted an earlier time.
    slice& slice_at(time_point now);

    sliding_retry_budget_options options_;
    std::array<slice, slice_count> slices_{};
};

} // namespace camphorrock
