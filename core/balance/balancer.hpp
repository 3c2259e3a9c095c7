#pragma once

// Plans moves, splits and merges that even out the load of a shard's servers at a low
// number of moved keys. See docs/POLICY.md for the alternatives and measurements.
//
//     balancer policy(options);
//     rebalance_plan plan = policy.plan(view, now);
//
// The balancer starts once the relative load (load over capacity) of a server is above
// the mean by more than the fraction `start_imbalance`, or below it by more than twice
// that, and continues until all are within the same limits for `stop_imbalance`. The move
// that reduces the load of the most loaded server most for each moved key comes first. A
// key that carries much of its partition's load is split off. Adjacent cold partitions of
// one owner merge.
//
// Invariants, checked by the tests:
//   - apart from keys of a server that is leaving, at most `churn_fraction` of the keys
//     move in `churn_period`, and no key moves twice in it;
//   - no step makes a server more loaded than the server that it takes load from was;
//   - a plan has at most `max_steps` steps, which fit the view when applied in order.
//
// plan is O(p log p) in the partitions of the view, plus O(p / servers + servers) for
// each step. Memory between calls: the moves of one period.

#include "core/assignment/rebalance_plan.hpp"
#include "core/balance/balance_view.hpp"
#include "core/balance/move_history.hpp"
#include "core/base/time.hpp"

#include <cstddef>

namespace camphorrock
{

struct balancer_options
{
    double start_imbalance = 0.12; // fraction above the mean at which it starts
    double stop_imbalance = 0.08;  // fraction above the mean at which it stops
    double churn_fraction = 0.15;  // of all keys, may move in one churn_period
    duration churn_period = seconds(60);
    // A key is split off only if its load is at least both of these fractions: of its
    // partition's load, and of the mean server load.
    double hot_key_fraction = 0.3;
    double min_hot_key_load = 0.05;
    double min_gain = 0.005;           // of the mean server load, that a move must gain;
                                       // less if partitions are smaller
    double max_cold_load = 0.01;       // of the mean server load, for two adjacent
                                       // partitions to merge
    std::size_t min_partitions = 16;   // per server; no merges below
    std::size_t max_partitions = 4096; // of the shard; no splits above
    std::size_t max_steps = 64;        // of one plan
    std::size_t max_merges = 4;        // of one plan
};

class balancer
{
public:
    explicit balancer(balancer_options options);

    rebalance_plan plan(const balance_view& view, time_point now);

    // As plan(), but evens out only the server at that index of the view, and merges
    // nothing. Servers that take no keys are evacuated as in plan().
    rebalance_plan plan_for(const balance_view& view, std::size_t server, time_point now);

    // Plans only merges of adjacent cold partitions.
    rebalance_plan plan_merges(const balance_view& view, time_point now);

    // The estimated number of keys that moved in the last churn_period, apart from keys
    // of leaving servers, as of the last plan.
    double recently_moved_keys() const
    {
        return history_.keys();
    }

private:
    balancer_options options_;
    move_history history_;
};

// The ratio of the highest relative load of the servers that take keys to the mean, which
// is the load of all partitions over the capacity of these servers. 1 without any load.
double imbalance(const balance_view& view);

} // namespace camphorrock
