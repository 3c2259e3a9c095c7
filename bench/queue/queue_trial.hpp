#pragma once

// Plays the script of one server to one policy in virtual time, event by event, and
// measures. No network: a request reaches the queue, and a start the server, at once.

#include "bench/queue/named_policy.hpp"
#include "bench/queue/queue_metrics.hpp"
#include "bench/queue/queue_scenario.hpp"

#include <cstdint>

namespace camphorrock
{

// One server. The same scenario and seed give the same load whatever the policy.
queue_metrics run_queue_trial(const queue_scenario& scenario,
                              const named_policy& policy,
                              std::uint64_t seed);

// So many servers, with seeds from `seed` on; the metrics of all together.
queue_metrics run_queue_trials(const queue_scenario& scenario,
                               const named_policy& policy,
                               std::uint64_t seed,
                               std::size_t servers);

} // namespace camphorrock
