#include "core/gateway/owners/key_load.hpp"

#include <algorithm>

namespace camphorrock
{

void key_load::add(shard_key key, time_point now)
{
    samples_.push_back({now, key.value});
    if (samples_.size() > options_.max_samples)
    {
        samples_.pop_front();
    }
}

void key_load::expire(time_point now)
{
    while (!samples_.empty() && now - samples_.front().at > options_.window)
    {
        samples_.pop_front();
    }
}

duration key_load::sampled_duration(time_point now) const
{
    if (samples_.empty())
    {
        return options_.window;
    }
    return std::clamp(
        now - samples_.front().at, options_.min_sampled_duration, options_.window);
}

std::vector<unsigned> key_load::keys_in(shard_key_range range) const
{
    std::vector<unsigned> keys;
    for (const sample& it : samples_)
    {
        if (range.contains(shard_key{it.key}))
        {
            keys.push_back(it.key);
        }
    }
    std::sort(keys.begin(), keys.end());
    return keys;
}

std::optional<shard_key_range> narrowest_range(const std::vector<unsigned>& sorted_keys,
                                               std::size_t wanted)
{
    if (sorted_keys.empty())
    {
        return std::nullopt;
    }
    const std::size_t n = std::clamp<std::size_t>(wanted, 1, sorted_keys.size());
    shard_key_range best{sorted_keys.front(), sorted_keys[n - 1]};
    for (std::size_t first = 1; first + n <= sorted_keys.size(); ++first)
    {
        const shard_key_range it{sorted_keys[first], sorted_keys[first + n - 1]};
        if (it.width() < best.width())
        {
            best = it;
        }
    }
    return best;
}

} // namespace camphorrock
