#pragma once

// Simulates the script of one service with one placement, in virtual time. Requests are
// sampled at random, so that the load a placement measures is noisy. The imbalance, which
// is the ratio of the highest load of a server to the mean, is computed from the true
// popularity of the keys.

#include "bench/balance/balance_scenario.hpp"
#include "bench/balance/key_placement.hpp"
#include "bench/balance/key_population.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorrock
{

struct balance_metrics
{
    double imbalance_before = 0; // right before the first event
    double worst_imbalance = 0;  // after the first event
    double settling_time_s = 0; // longest time from an event until the imbalance stays at
                                // or below 1.2; -1 if it never did after some event
    double imbalance_at_60_s = 0;       // the worst one 60 s after an event
    double imbalance_lower_bound = 0;   // the highest lower bound at those times
    double moved_keys = 0;              // from the first event on
    double warm_up_moved_keys = 0;      // before the first event
    double unavoidable_moved_keys = 0;  // all keys of each server that leaves, and a mean
                                        // server's number of keys for each that joins
    double max_moved_keys_per_step = 0; // of moved_keys, the most in one step of 100 ms
    double keys_moved_twice = 0;        // moves of a key within a minute of its last one
    double moved_keys_per_point = 0;    // for each 0.01 of imbalance removed
};

struct named_placement
{
    std::string name;
    std::function<std::unique_ptr<key_placement>(
        const key_population& keys, std::size_t servers, std::uint64_t seed)>
        create;
};

// The baselines modulo, rendezvous and bounded loads, then the versions of the balancer,
// the current one last.
const std::vector<named_placement>& named_placements();

balance_metrics run_balance_trial(const balance_scenario& scenario,
                                  const named_placement& placement,
                                  std::uint64_t seed);

} // namespace camphorrock
