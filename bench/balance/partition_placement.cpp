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
        names_.emplace_back("server-" + std::to_string(i));
    }
}

// The first call cuts the key space evenly among the servers.
void partition_placement::servers_changed(const std::vector<bool>& takes_keys,
                                          time_point now)
{
    takes_keys_ = takes_keys;
    if (!partitions_.empty())
    {
        decide(now);
        return;
    }
    std::vector<std::size_t> live;
    for (std::size_t i = 0; i < takes_keys.size(); ++i)
    {
        if (takes_keys[i])
        {
            live.push_back(i);
        }
    }
    const std::size_t n = live.size() * options_.partitions_of_server;
    const std::uint64_t width = std::numeric_limits<std::uint64_t>::max() / n;
    for (std::size_t i = 0; i < n; ++i)
    {
        const bool is_last = i + 1 == n;
        const hash_range range{key_hash{i * width},
                               is_last ? hash_range{}.last
                                       : key_hash{(i + 1) * width - 1}};
        partitions_.push_back({range, live[i % live.size()]});
    }
    next_plan_ = now + options_.interval;
    carry_out({}, now);
}

void partition_placement::observe(std::size_t key, time_point now)
{
    load_.add(keys_.hashes[key], 1, now);
}

void partition_placement::advance(time_point now)
{
    if (options_.is_spread)
    {
        const auto seen = [&]
        {
            return view(now);
        };
        carry_out(schedule_.tick(servers(), seen, now), now);
    }
    else if (now >= next_plan_)
    {
        next_plan_ = now + options_.interval;
        decide(now);
    }
}

const std::vector<std::size_t>& partition_placement::owners() const
{
    return owners_;
}

balance_view partition_placement::view(time_point now) const
{
    balance_view seen;
    seen.servers = servers();
    const std::vector<partition_sample> samples = load_.samples(now);
    const double all_keys = static_cast<double>(keys_.hashes.size());
    for (std::size_t i = 0; i < partitions_.size(); ++i)
    {
        const hash_range& range = partitions_[i].range;
        const double width = static_cast<double>(range.last.value - range.first.value);
        const double whole =
            static_cast<double>(std::numeric_limits<std::uint64_t>::max());
        const double keys = std::max(1.0, all_keys * width / whole);
        seen.partitions.push_back({range,
                                   partitions_[i].server,
                                   samples[i].load,
                                   keys,
                                   samples[i].hottest,
                                   false});
    }
    return seen;
}

std::vector<balanced_server> partition_placement::servers() const
{
    std::vector<balanced_server> all;
    for (std::size_t i = 0; i < names_.size(); ++i)
    {
        all.push_back({names_[i], 1, takes_keys_[i]});
    }
    return all;
}

void partition_placement::decide(time_point now)
{
    const balance_view seen = view(now);
    carry_out(options_.is_spread ? schedule_.plan_now(seen, now)
                                 : balancer_.plan(seen, now),
              now);
}

void partition_placement::carry_out(const rebalance_plan& plan, time_point now)
{
    if (plan.steps.empty() && load_.size() == partitions_.size())
    {
        return;
    }
    for (const rebalance_step& it : plan.steps)
    {
        apply(it);
    }
    std::vector<hash_range> ranges;
    for (const partition& it : partitions_)
    {
        ranges.push_back(it.range);
    }
    load_.set_partitions(ranges, now);
    refresh_owners();
}

void partition_placement::apply(const rebalance_step& step)
{
    if (const auto* move = std::get_if<move_step>(&step))
    {
        partitions_[find(move->range.first)].server = server_of(move->to);
    }
    else if (const auto* split = std::get_if<split_step>(&step))
    {
        const std::size_t i = find(split->at);
        partition upper = partitions_[i];
        upper.range.first = split->at;
        partitions_[i].range.last = key_hash{split->at.value - 1};
        partitions_.insert(partitions_.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                           upper);
    }
    else
    {
        const std::size_t i = find(std::get<merge_step>(step).at);
        partitions_[i - 1].range.last = partitions_[i].range.last;
        partitions_.erase(partitions_.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

std::size_t partition_placement::find(key_hash at) const
{
    const auto it = std::lower_bound(partitions_.begin(),
                                     partitions_.end(),
                                     at,
                                     [](const partition& one, key_hash h)
                                     { return one.range.last < h; });
    return static_cast<std::size_t>(it - partitions_.begin());
}

std::size_t partition_placement::server_of(const server_id& id) const
{
    const auto it = std::find(names_.begin(), names_.end(), id);
    return static_cast<std::size_t>(it - names_.begin());
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
