#pragma once

// Plans moves, splits and merges that even out the load of a shard's servers, cheapest
// keys first. See docs/POLICY.md for what was weighed and measured.
//
//     balancer decide(options);
//     rebalance_plan plan = decide.plan(view, now);
//
// It acts once the relative load (load over capacity) of a server is more than `start`
// from the mean, and goes on until all are within `stop`. The step with the largest
// reduction of the load of the most loaded server for each key moved goes first. A key
// that carries much of its partition is split off. Cold neighbours of one owner merge.
//
// Rules, checked by the tests:
//   - apart from keys of a server that is leaving, at most `churn_share` of the keys move
//     in `churn_period`, and none moves twice;
//   - no step makes a server more loaded than the one that it relieves was;
//   - steps fit the view when they are carried out in order, and at most `max_steps`.
//
// plan is O(p log p) in the partitions of the view, plus O(p / servers + servers) a step.
// Memory between calls: the moves of one period.

#include "core/assignment/rebalance_plan.hpp"
#include "core/balance/balance_view.hpp"
#include "core/balance/move_history.hpp"
#include "core/base/time.hpp"

#include <cstddef>

namespace camphorrock
{

struct balancer_options
{
    double start = 0.12;       // share off the mean at which it acts
    double stop = 0.08;        // share off the mean that it is content with
    double churn_share = 0.15; // of all keys, in one churn_period
    duration churn_period = seconds(60);
    double hot_share = 0.3;            // of its partition's load splits a key off
    double hot_load = 0.05;            // of the mean server load, at least
    double min_gain = 0.005;           // of the mean server load, for a step; less
                                       // where partitions are smaller
    double cold_load = 0.01;           // of the mean server load: neighbours may merge
    std::size_t min_partitions = 16;   // for each server; no merges below
    std::size_t max_partitions = 4096; // no splits above
    std::size_t max_steps = 64;        // of one plan
    std::size_t max_merges = 4;        // of one plan
};

class balancer
{
public:
    explicit balancer(balancer_options options);

    rebalance_plan plan(const balance_view& view, time_point now);

    // The same, but only the server of that index is relieved, or emptied if it takes no
    // keys, and nothing merges.
    rebalance_plan plan_for(const balance_view& view, std::size_t server, time_point now);

    // Only merges of cold neighbours.
    rebalance_plan plan_merges(const balance_view& view, time_point now);

    // Keys that moved in the churn period.
    double recent_keys() const
    {
        return history_.keys();
    }

private:
    balancer_options options_;
    move_history history_;
};

// How far the most loaded server is above the mean: max over mean of load / capacity,
// among servers that take keys. 1 for no load.
double imbalance(const balance_view& view);

} // namespace camphorrock
