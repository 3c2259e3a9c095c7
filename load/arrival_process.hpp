#pragma once

// A Poisson process whose rate changes in steps: the times at which requests begin,
// whether or not earlier ones have ended.

#include "load/load_settings.hpp"

#include <optional>
#include <random>
#include <vector>

namespace camphorrock
{

class arrival_process
{
public:
    explicit arrival_process(std::vector<rate_step> rates) : rates_(std::move(rates)) {}

    // The time of the next arrival, counted from the start; none where the rate is zero
    // from then on.
    std::optional<duration> next(std::mt19937_64& random);

private:
    std::vector<rate_step> rates_;
    std::size_t step_ = 0;
    duration last_{};
};

} // namespace camphorrock
