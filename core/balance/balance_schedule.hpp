#pragma once

// Decides when the balancer plans. Each server is looked at by itself, at times of its
// own: the wait to the next look is drawn between a half and one and a half of
// `interval`, and the server is relieved with a probability that rises with its load
// above the mean. Many small decisions spread over time, as in "Trust your local scaler"
// (Straesser and others, Performance Evaluation, 2024), moved fewer keys than common
// plans; see docs/POLICY.md.
//
//     balance_schedule schedule(options, random);
//     rebalance_plan plan = schedule.tick(view, now); // often; mostly empty
//
// tick is O(servers) while nothing is due. Memory: one time a server, and the balancer's.

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
    duration interval = seconds(2);        // mean wait between two looks at a server
    double certain = 0.5;                  // share above the mean at which it surely acts
    duration merge_interval = seconds(30); // between two rounds of merges
};

class balance_schedule
{
public:
    // `random` must outlive the schedule.
    balance_schedule(const balance_schedule_options& options, std::mt19937_64& random);

    // The next server that is due and acts, or an empty plan. `view` is called only where
    // something is due: building it costs O(partitions).
    template<class View>
    rebalance_plan
    tick(const std::vector<balanced_server>& servers, View&& view, time_point now)
    {
        const std::optional<std::size_t> due = next_due(servers, now);
        return due ? decide(view(), *due, now) : rebalance_plan{};
    }

    // Looks at all servers at once, for a change of membership.
    rebalance_plan plan_now(const balance_view& view, time_point now)
    {
        return balancer_.plan(view, now);
    }

private:
    std::optional<std::size_t> next_due(const std::vector<balanced_server>& servers,
                                        time_point now);
    rebalance_plan decide(const balance_view& view, std::size_t server, time_point now);
    bool acts(const balance_view& view, std::size_t server);
    duration draw_wait();

    balance_schedule_options options_;
    std::mt19937_64& random_;
    balancer balancer_;
    std::unordered_map<server_id, time_point> next_look_;
    time_point next_merge_;
};

} // namespace camphorrock
