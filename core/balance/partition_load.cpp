#include "core/balance/partition_load.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

double width(const hash_range& range)
{
    return static_cast<double>(range.last.value - range.first.value) + 1;
}

hash_range overlap(const hash_range& a, const hash_range& b)
{
    return {std::max(a.first, b.first), std::min(a.last, b.last)};
}

double load_of_keys_in(const hash_range& range, const std::vector<hot_key>& keys)
{
    double sum = 0;
    const auto first =
        std::lower_bound(keys.begin(),
                         keys.end(),
                         range.first,
                         [](const hot_key& it, key_hash at) { return it.at < at; });
    for (auto it = first; it != keys.end() && it->at <= range.last; ++it)
    {
        sum += it->load;
    }
    return sum;
}

} // namespace

partition_load::partition_load(partition_load_options options)
    : options_(options), hot_(options.hot_counters, options.half_life)
{
}

void partition_load::set_partitions(const std::vector<hash_range>& ranges, time_point now)
{
    const std::vector<hot_key> keys = hot_.keys(now);
    std::vector<row> next;
    next.reserve(ranges.size());
    auto old = rows_.begin();
    for (const hash_range& range : ranges)
    {
        while (old != rows_.end() && old->range.last < range.first)
        {
            ++old;
        }
        if (old != rows_.end() && old->range == range)
        {
            next.push_back(*old);
            continue;
        }
        double load = 0;
        for (auto it = old; it != rows_.end() && it->range.overlaps(range); ++it)
        {
            const double hot_load = load_of_keys_in(it->range, keys);
            const double spread_load =
                std::max(0.0, it->rate.at(now, options_.half_life) - hot_load);
            const hash_range common = overlap(it->range, range);
            load += spread_load * width(common) / width(it->range);
            load += load_of_keys_in(common, keys);
        }
        next.push_back({range, decayed_rate(load, now)});
    }
    rows_ = std::move(next);
}

void partition_load::add(key_hash at, double amount, time_point now)
{
    if (row* containing = find(at))
    {
        containing->rate.add(amount, now, options_.half_life);
        hot_.add(at, amount, now);
    }
}

std::vector<partition_sample> partition_load::samples(time_point now) const
{
    std::vector<partition_sample> all;
    all.reserve(rows_.size());
    for (const row& it : rows_)
    {
        all.push_back({it.range, it.rate.at(now, options_.half_life), std::nullopt});
    }
    auto containing = all.begin();
    for (const hot_key& key : hot_.keys(now))
    {
        containing = std::find_if(containing,
                                  all.end(),
                                  [&](const partition_sample& it)
                                  { return key.at <= it.range.last; });
        if (containing == all.end())
        {
            break;
        }
        if (!containing->range.contains(key.at))
        {
            continue;
        }
        if (!containing->hottest || containing->hottest->load < key.load)
        {
            containing->hottest = key;
        }
    }
    return all;
}

partition_load::row* partition_load::find(key_hash at)
{
    const auto it = std::lower_bound(rows_.begin(),
                                     rows_.end(),
                                     at,
                                     [](const row& one, key_hash key)
                                     { return one.range.last < key; });
    return it != rows_.end() && it->range.contains(at) ? &*it : nullptr;
}

} // namespace camphorrock
