#pragma once

// Decides when the balancer plans. Each server is checked independently: the time to its
// next check is uniformly distributed between 0.5 and 1.5 times `interval`, and load is
// moved off the server with a probability that grows with its load above the mean. Many
// small decisions spread over time, as in "Trust your local scaler" (Straesser and
// others, Performance Evaluation, 2024), moved fewer keys than plans for all servers at
// once; see docs/POLICY.md.
//
//     balance_schedule schedule(options, random);
//     plan = schedule.tick(servers, make_view, now); // called often; usually empty
//
// tick is O(servers) while no check is due. Memory: one time per server, and the
// balancer's.

#include "core/balance/balancer.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <optional>
#include <random>
#include <unordered_map>

namespace camphorrock
{

struct balance_schedule_options
{
    balancer_options balance;
    duration interval = seconds(2);        // mean time between two checks of a server
    double certain_excess = 0.5;           // relative excess over the mean load from
                                           // which load is always moved off
    duration merge_interval = seconds(30); // least time between two plans of merges
};

class balance_schedule
{
public:
    // `random` must outlive the schedule.
    balance_schedule(const balance_schedule_options& options, std::mt19937_64& random);

    // Checks the first server that is due. Returns an empty plan if none is due or
    // nothing is to be moved. `view` returns the current balance_view, with servers in
    // the order of `servers`; it is called only if a server is due, since it costs
    // O(partitions).
    template<class View>
    rebalance_plan
    tick(const std::vector<balanced_server>& servers, View&& view, time_point now)
    {
        const std::optional<std::size_t> due = next_due(servers, now);
        return due ? plan_due_server(view(), *due, now) : rebalance_plan{};
    }

    // Plans for all servers at once; for a change of membership.
    rebalance_plan plan_now(const balance_view& view, time_point now)
    {
        return balancer_.plan(view, now);
    }

private:
    std::optional<std::size_t> next_due(const std::vector<balanced_server>& servers,
                                        time_point now);
    rebalance_plan
    plan_due_server(const balance_view& view, std::size_t server, time_point now);
    bool should_relieve(const balance_view& view, std::size_t server);
    duration random_interval();

    balance_schedule_options options_;
    std::mt19937_64& random_;
    balancer balancer_;
    std::unordered_map<server_id, time_point> next_check_;
    time_point next_merge_at_;
};

} // namespace camphorrock
