#pragma once

// The queue policies that the benchmarks compare: the baselines, then the versions of
// server_queue.

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
    bool cancels_at_deadline = true; // false: the server works on past the deadline
    std::function<std::unique_ptr<queue_policy>(std::size_t slots,
                                                std::mt19937_64& random)>
        create;
};

// The current version of server_queue is the last.
const std::vector<named_policy>& named_policies();

// First in, first out without limits: the baseline that the targets are relative to.
const named_policy& fifo_policy();

} // namespace camphorrock
