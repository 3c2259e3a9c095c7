#pragma once

// Plays the script of one service to a placement in virtual time. Requests are drawn at
// random, so a placement sees noise; imbalance is computed from the true popularity.

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
    double before = 0;        // imbalance right before the first event
    double worst = 0;         // after it
    double settled_s = 0;     // longest time after an event until at most 1.2; -1: never
    double at_60_s = 0;       // worst imbalance 60 s after an event
    double optimum = 0;       // worst lower bound at those times
    double moved = 0;         // keys, from the first event on
    double warm_up_moved = 0; // keys, before it
    double unavoidable =
        0;            // keys: of a server that leaves, a fair share for one that joins
    double burst = 0; // most keys moved at one time, of those
    double moved_twice = 0; // keys that changed owner twice within a minute
    double per_point = 0;   // keys moved for each 0.01 of imbalance removed
};

struct named_placement
{
    std::string name;
    std::function<std::unique_ptr<key_placement>(
        const key_population& keys, std::size_t servers, std::uint64_t seed)>
        create;
};

// Modulo, rendezvous, bounded loads, then our own versions.
const std::vector<named_placement>& named_placements();

balance_metrics run_balance_trial(const balance_scenario& scenario,
                                  const named_placement& placement,
                                  std::uint64_t seed);

} // namespace camphorrock
