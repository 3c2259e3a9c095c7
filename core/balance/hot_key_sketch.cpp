#include "core/balance/hot_key_sketch.hpp"

#include <algorithm>

namespace camphorrock
{

hot_key_sketch::hot_key_sketch(std::size_t counters, duration half_life)
    : max_counters_(std::max<std::size_t>(1, counters)), half_life_(half_life)
{
    counters_.reserve(max_counters_);
}

void hot_key_sketch::add(key_hash at, double amount, time_point now)
{
    const auto it = std::find_if(counters_.begin(),
                                 counters_.end(),
                                 [&](const counter& one) { return one.at == at; });
    if (it != counters_.end())
    {
        it->rate.add(amount, now, half_life_);
        return;
    }
    if (counters_.size() < max_counters_)
    {
        counters_.push_back({at, {}, {}});
        counters_.back().rate.add(amount, now, half_life_);
        return;
    }
    counter& taken = smallest(now);
    taken.inherited = taken.rate;
    taken.at = at;
    taken.rate.add(amount, now, half_life_);
}

std::vector<hot_key> hot_key_sketch::keys(time_point now) const
{
    std::vector<hot_key> found;
    found.reserve(counters_.size());
    for (const counter& it : counters_)
    {
        const double own = it.rate.at(now, half_life_) - it.inherited.at(now, half_life_);
        found.push_back({it.at, std::max(0.0, own)});
    }
    std::sort(found.begin(),
              found.end(),
              [](const hot_key& a, const hot_key& b) { return a.at < b.at; });
    return found;
}

hot_key_sketch::counter& hot_key_sketch::smallest(time_point now)
{
    return *std::min_element(
        counters_.begin(),
        counters_.end(),
        [&](const counter& a, const counter& b)
        { return a.rate.at(now, half_life_) < b.rate.at(now, half_life_); });
}

} // namespace camphorrock
