#pragma once

// Generates the arrival times of an open-loop load: a Poisson process whose rate changes
// in steps. Arrivals do not depend on whether earlier requests have ended.

#include "load/load_settings.hpp"

#include <optional>
#include <random>
#include <vector>

namespace camphorrock
{

class arrival_process
{
public:
    // `rates` is ordered by time; its first step is at 0.
    explicit arrival_process(std::vector<rate_step> rates) : rates_(std::move(rates)) {}

    // Returns the time of the next arrival since the start of the load, or nullopt if the
    // rate stays zero from here on.
    std::optional<duration> next_arrival(std::mt19937_64& random);

private:
    std::vector<rate_step> rates_;
    std::size_t step_ = 0;
    duration generated_until_{}; // the last arrival, or the start of step_ if later
};

} // namespace camphorrock
