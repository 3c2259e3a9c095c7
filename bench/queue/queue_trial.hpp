#pragma once

// A discrete-event simulation of one policy on the script of one server, in virtual time.
// There is no network latency: requests reach the queue at once, and requests that the
// queue starts reach the server at once.

#include "bench/queue/named_policy.hpp"
#include "bench/queue/queue_metrics.hpp"
#include "bench/queue/queue_scenario.hpp"

#include <cstdint>

namespace camphorrock
{

// Simulates one server. The same scenario and seed give the same requests for any policy.
queue_metrics run_queue_trial(const queue_scenario& scenario,
                              const named_policy& policy,
                              std::uint64_t seed);

// Simulates `servers` servers with successive seeds from `seed` on. Returns the sum of
// their metrics.
queue_metrics run_queue_trials(const queue_scenario& scenario,
                               const named_policy& policy,
                               std::uint64_t seed,
                               std::size_t servers);

} // namespace camphorrock
