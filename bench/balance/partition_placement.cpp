#include "bench/balance/partition_placement.hpp"

#include <algorithm>
#include <limits>

namespace camphorrock
{

partition_placement::partition_placement(const partition_placement_options& options,
                                         const key_population& keys,
                                         std::size_t servers,
                                         std::uint64_t seed)
    : options_(options), keys_(keys), takes_keys_(servers, true),
      owners_(keys.hashes.size(), 0), load_(options.load), balancer_(options.balance),
      random_(seed), schedule_({options.balance, options.interval}, random_)
{
    for (std::size_t i = 0; i < servers; ++i)
    {
        server_ids_.emplace_back("server-" + std::to_string(i));
    }
}

// The first call splits the hash space into partitions of equal width and assigns them to
// the servers round-robin.
void partition_placement::servers_changed(const std::vector<bool>& takes_keys,
                                          time_point now)
{
    takes_keys_ = takes_keys;
    if (!partitions_.empty())
    {
        plan_and_apply(now);
        return;
    }
    std::vector<std::size_t> active_servers;
    for (std::size_t i = 0; i < takes_keys.size(); ++i)
    {
        if (takes_keys[i])
        {
            active_servers.push_back(i);
        }
    }
    const std::size_t n = active_servers.size() * options_.partitions_per_server;
    const std::uint64_t width = std::numeric_limits<std::uint64_t>::max() / n;
    for (std::size_t i = 0; i < n; ++i)
    {
        const bool is_last = i + 1 == n;
        const hash_range range{key_hash{i * width},
                               is_last ? hash_range{}.last
                                       : key_hash{(i + 1) * width - 1}};
        partitions_.push_back({range, active_servers[i % active_servers.size()]});
    }
    next_plan_ = now + options_.interval;
    apply_plan({}, now);
}

void partition_placement::observe(std::size_t key, time_point now)
{
    load_.add(keys_.hashes[key], 1, now);
}

void partition_placement::advance(time_point now)
{
    if (options_.checks_servers_independently)
    {
        const auto make_view = [&]
        {
            return current_view(now);
        };
        apply_plan(schedule_.tick(servers(), make_view, now), now);
    }
    else if (now >= next_plan_)
    {
        next_plan_ = now + options_.interval;
        plan_and_apply(now);
    }
}

const std::vector<std::size_t>& partition_placement::owners() const
{
    return owners_;
}

balance_view partition_placement::current_view(time_point now) const
{
    balance_view view;
    view.servers = servers();
    const std::vector<partition_sample> samples = load_.samples(now);
    const double all_keys = static_cast<double>(keys_.hashes.size());
    for (std::size_t i = 0; i < partitions_.size(); ++i)
    {
        const hash_range& range = partitions_[i].range;
        const double width = static_cast<double>(range.last.value - range.first.value);
        const double whole =
            static_cast<double>(std::numeric_limits<std::uint64_t>::max());
        const double keys = std::max(1.0, all_keys * width / whole);
        view.partitions.push_back({range,
                                   partitions_[i].server,
                                   samples[i].load,
                                   keys,
                                   samples[i].hottest,
                                   false});
    }
    return view;
}

std::vector<balanced_server> partition_placement::servers() const
{
    std::vector<balanced_server> all;
    for (std::size_t i = 0; i < server_ids_.size(); ++i)
    {
        all.push_back({server_ids_[i], 1, takes_keys_[i]});
    }
    return all;
}

void partition_placement::plan_and_apply(time_point now)
{
    const balance_view view = current_view(now);
    apply_plan(options_.checks_servers_independently ? schedule_.plan_now(view, now)
                                                     : balancer_.plan(view, now),
               now);
}

void partition_placement::apply_plan(const rebalance_plan& plan, time_point now)
{
    if (plan.steps.empty() && load_.size() == partitions_.size())
    {
        return;
    }
    for (const rebalance_step& it : plan.steps)
    {
        apply_step(it);
    }
    std::vector<hash_range> ranges;
    for (const partition& it : partitions_)
    {
        ranges.push_back(it.range);
    }
    load_.set_partitions(ranges, now);
    refresh_owners();
}

void partition_placement::apply_step(const rebalance_step& step)
{
    if (const auto* move = std::get_if<move_step>(&step))
    {
        partitions_[partition_index(move->range.first)].server = server_index(move->to);
    }
    else if (const auto* split = std::get_if<split_step>(&step))
    {
        const std::size_t i = partition_index(split->at);
        partition upper = partitions_[i];
        upper.range.first = split->at;
        partitions_[i].range.last = key_hash{split->at.value - 1};
        partitions_.insert(partitions_.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                           upper);
    }
    else
    {
        const std::size_t i = partition_index(std::get<merge_step>(step).at);
        partitions_[i - 1].range.last = partitions_[i].range.last;
        partitions_.erase(partitions_.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

std::size_t partition_placement::partition_index(key_hash at) const
{
    const auto it = std::lower_bound(partitions_.begin(),
                                     partitions_.end(),
                                     at,
                                     [](const partition& one, key_hash h)
                                     { return one.range.last < h; });
    return static_cast<std::size_t>(it - partitions_.begin());
}

std::size_t partition_placement::server_index(const server_id& id) const
{
    const auto it = std::find(server_ids_.begin(), server_ids_.end(), id);
    return static_cast<std::size_t>(it - server_ids_.begin());
}

void partition_placement::refresh_owners()
{
    std::size_t at = 0;
    for (std::size_t key = 0; key < owners_.size(); ++key)
    {
        while (partitions_[at].range.last < keys_.hashes[key])
        {
            ++at;
        }
        owners_[key] = partitions_[at].server;
    }
}

} // namespace camphorrock
