#include "core/balance/balance_schedule.hpp"

#include <algorithm>

namespace camphorrock
{

balance_schedule::balance_schedule(const balance_schedule_options& options,
                                   std::mt19937_64& random)
    : options_(options), random_(random), balancer_(options.balance)
{
}

std::optional<std::size_t>
balance_schedule::next_due(const std::vector<balanced_server>& servers, time_point now)
{
    if (next_check_.size() > 2 * servers.size())
    {
        next_check_.clear(); // more than half are of removed servers
    }
    std::optional<std::size_t> due;
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        const auto [it, is_new] = next_check_.try_emplace(servers[i].id, now);
        if (is_new)
        {
            it->second = now + random_interval();
        }
        else if (!due && it->second <= now)
        {
            it->second = now + random_interval();
            due = i;
        }
    }
    return due;
}

rebalance_plan balance_schedule::plan_due_server(const balance_view& view,
                                                 std::size_t server,
                                                 time_point now)
{
    if (!view.servers[server].takes_keys || should_relieve(view, server))
    {
        return balancer_.plan_for(view, server, now);
    }
    if (now >= next_merge_at_)
    {
        next_merge_at_ = now + options_.merge_interval;
        return balancer_.plan_merges(view, now);
    }
    return {};
}

bool balance_schedule::should_relieve(const balance_view& view, std::size_t server)
{
    double own = 0;
    double total = 0;
    for (const balanced_partition& it : view.partitions)
    {
        own += it.server == server ? it.load : 0;
        total += it.load;
    }
    double capacity = 0;
    for (const balanced_server& it : view.servers)
    {
        capacity += it.takes_keys ? it.capacity : 0;
    }
    if (total <= 0 || capacity <= 0)
    {
        return false;
    }
    const double excess = own / view.servers[server].capacity / (total / capacity) - 1;
    std::uniform_real_distribution<double> unit(0, options_.certain_excess);
    return excess > options_.balance.stop_imbalance && unit(random_) < excess;
}

duration balance_schedule::random_interval()
{
    const duration::rep mean = options_.interval.count();
    std::uniform_int_distribution<duration::rep> wait(mean / 2, mean * 3 / 2);
    return duration(wait(random_));
}

} // namespace camphorrock
