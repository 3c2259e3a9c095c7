#pragma once

// Bounds the repeated sendings to one service to a share of its requests, over a sliding
// window. All gateways share one bound: each keeps to the share of its own requests, and
// to its part of the fixed extra.
//
//     budget.first_sent(now);
//     if (budget.try_repeat(now)) ... // send again
//
// Memory: `slices` pairs of counts.

#include "core/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorrock
{

struct arrival_budget_options
{
    double share = 0.2;
    double extra = 0; // this gateway's part
    duration window = seconds(10);
};

class arrival_budget
{
public:
    explicit arrival_budget(arrival_budget_options options) : options_(options) {}

    void set_extra(double extra)
    {
        options_.extra = extra;
    }

    void first_sent(time_point now);

    // Takes one repeated sending; false where the window has no room for it.
    bool try_repeat(time_point now);

private:
    static constexpr std::size_t slices = 20;

    struct slice
    {
        std::int64_t number = -1; // of its time span
        unsigned first = 0;
        unsigned repeats = 0;
    };

    slice& at(time_point now);

    arrival_budget_options options_;
    std::array<slice, slices> rows_{};
};

} // namespace camphorrock
