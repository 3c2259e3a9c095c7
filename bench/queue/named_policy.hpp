#pragma once

// The queue policies that the benches compare: baselines, then our own versions.

#include "core/admission/queue_policy.hpp"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace camphorrock
{

struct named_policy
{
    std::string name;
    bool sees_callers_leave = true; // false: work goes on after its deadline
    std::function<std::unique_ptr<queue_policy>(std::size_t slots,
                                                std::mt19937_64& random)>
        create;
};

const std::vector<named_policy>& named_policies();

// First in first out without limits, the baseline of the targets.
const named_policy& fifo_policy();

} // namespace camphorrock
