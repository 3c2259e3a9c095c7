#include "core/balance/hot_key_sketch.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace camphorrock
{
namespace
{

// The origin moves after this many half-lives, well before the weights overflow.
constexpr double max_half_lives = 100;

double half_lives(duration passed, duration half_life)
{
    return static_cast<double>(passed.count()) / static_cast<double>(half_life.count());
}

} // namespace

hot_key_sketch::hot_key_sketch(std::size_t counters, duration half_life)
    : max_counters_(std::max<std::size_t>(1, counters)), half_life_(half_life)
{
    counters_.reserve(max_counters_);
}

void hot_key_sketch::add(key_hash at, double amount, time_point now)
{
    move_origin(now);
    const std::chrono::duration<double> half_life = half_life_;
    const double weighted =
        amount * weight_at(now) * std::numbers::ln2 / half_life.count();
    counter* smallest = nullptr;
    for (counter& it : counters_)
    {
        if (it.at == at)
        {
            it.rate += weighted;
            return;
        }
        if (smallest == nullptr || it.rate < smallest->rate)
        {
            smallest = &it;
        }
    }
    if (counters_.size() < max_counters_)
    {
        counters_.push_back({at, weighted, 0});
        return;
    }
    *smallest = {at, smallest->rate + weighted, smallest->rate};
}

std::vector<hot_key> hot_key_sketch::keys(time_point now) const
{
    const double decay = 1 / weight_at(now);
    std::vector<hot_key> found;
    found.reserve(counters_.size());
    for (const counter& it : counters_)
    {
        found.push_back({it.at, (it.rate - it.inherited) * decay});
    }
    std::sort(found.begin(),
              found.end(),
              [](const hot_key& a, const hot_key& b) { return a.at < b.at; });
    return found;
}

// The weight, as of `origin_`, of a unit of load that is added at `now`.
double hot_key_sketch::weight_at(time_point now) const
{
    return std::exp2(half_lives(now - origin_, half_life_));
}

void hot_key_sketch::move_origin(time_point now)
{
    if (half_lives(now - origin_, half_life_) < max_half_lives)
    {
        return;
    }
    const double decay = 1 / weight_at(now);
    for (counter& it : counters_)
    {
        it.rate *= decay;
        it.inherited *= decay;
    }
    origin_ = now;
}

} // namespace camphorrock
