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
    if (next_look_.size() > 2 * servers.size())
    {
        next_look_.clear(); // names of servers that are gone
    }
    std::optional<std::size_t> due;
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        const auto [it, is_new] = next_look_.try_emplace(servers[i].id, now);
        if (is_new)
        {
            it->second = now + draw_wait();
        }
        else if (!due && it->second <= now)
        {
            it->second = now + draw_wait();
            due = i;
        }
    }
    return due;
}

rebalance_plan
balance_schedule::decide(const balance_view& view, std::size_t server, time_point now)
{
    if (!view.servers[server].takes_keys || acts(view, server))
    {
        return balancer_.plan_for(view, server, now);
    }
    if (now >= next_merge_)
    {
        next_merge_ = now + options_.merge_interval;
        return balancer_.plan_merges(view, now);
    }
    return {};
}

bool balance_schedule::acts(const balance_view& view, std::size_t server)
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
    const double above = own / view.servers[server].capacity / (total / capacity) - 1;
    std::uniform_real_distribution<double> unit(0, options_.certain);
    return above > options_.balance.stop && unit(random_) < above;
}

duration balance_schedule::draw_wait()
{
    const duration::rep mean = options_.interval.count();
    std::uniform_int_distribution<duration::rep> wait(mean / 2, mean * 3 / 2);
    return duration(wait(random_));
}

} // namespace camphorrock
