#include "core/balance/balancer.hpp"

#include "core/balance/plan_builder.hpp"

#include <algorithm>
#include <vector>

namespace camphorrock
{

balancer::balancer(balancer_options options)
    : options_(options), history_(options.churn_period)
{
}

rebalance_plan balancer::plan(const balance_view& view, time_point now)
{
    return make_plan(view, std::nullopt, now);
}

rebalance_plan
balancer::plan_for(const balance_view& view, std::size_t server, time_point now)
{
    return make_plan(view, server, now);
}

rebalance_plan balancer::make_plan(const balance_view& view,
                                   std::optional<std::size_t> only,
                                   time_point now)
{
    history_.forget(now);
    plan_builder builder(view, options_, history_, now);
    builder.evacuate();
    builder.even_out(only);
    if (!only)
    {
        builder.merge_cold();
    }
    rebalance_plan made = builder.take();
    made.reason = made.steps.empty() ? "" : "load";
    return made;
}

double imbalance(const balance_view& view)
{
    std::vector<double> loads(view.servers.size(), 0);
    double total = 0;
    for (const balanced_partition& it : view.partitions)
    {
        loads[it.server] += it.load;
        total += it.load;
    }
    double capacity = 0;
    double highest = 0;
    for (std::size_t i = 0; i < view.servers.size(); ++i)
    {
        if (view.servers[i].takes_keys)
        {
            capacity += view.servers[i].capacity;
            highest = std::max(highest, loads[i] / view.servers[i].capacity);
        }
    }
    return total > 0 && capacity > 0 ? highest * capacity / total : 1;
}

} // namespace camphorrock
