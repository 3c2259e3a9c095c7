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
    history_.expire(now);
    plan_builder builder(view, options_, history_, now);
    builder.evacuate();
    builder.even_out(std::nullopt);
    builder.merge_cold();
    return builder.take_plan();
}

rebalance_plan
balancer::plan_for(const balance_view& view, std::size_t server, time_point now)
{
    history_.expire(now);
    plan_builder builder(view, options_, history_, now);
    builder.evacuate();
    builder.even_out(server);
    return builder.take_plan();
}

rebalance_plan balancer::plan_merges(const balance_view& view, time_point now)
{
    history_.expire(now);
    plan_builder builder(view, options_, history_, now);
    builder.merge_cold();
    return builder.take_plan();
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
    double highest = 0; // relative load
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
