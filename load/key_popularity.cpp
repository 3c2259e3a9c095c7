#include "load/key_popularity.hpp"

#include <algorithm>
#include <cmath>

namespace camphorrock
{
namespace
{

// How many keys the hot key advances at a time. A prime, so that every key becomes hot
// in turn unless the number of keys is a multiple of it.
constexpr std::uint64_t hot_key_stride = 7919;

} // namespace

key_popularity::key_popularity(key_settings settings) : settings_(settings)
{
    double total = 0;
    for (std::uint64_t rank = 1; rank <= settings_.count; ++rank)
    {
        total += std::pow(static_cast<double>(rank), -settings_.zipf);
        cumulative_weights_.push_back(total);
    }
}

std::string key_popularity::draw_key(std::mt19937_64& random, duration elapsed) const
{
    double at = std::uniform_real_distribution<>(0, cumulative_weights_.back())(random);
    auto it =
        std::upper_bound(cumulative_weights_.begin(), cumulative_weights_.end() - 1, at);
    auto rank = static_cast<std::uint64_t>(it - cumulative_weights_.begin());
    std::uint64_t moves = 0;
    if (settings_.hot_key_period > duration(0))
    {
        moves = static_cast<std::uint64_t>(elapsed / settings_.hot_key_period);
    }
    return key_text((rank + moves * hot_key_stride) % settings_.count);
}

std::string key_text(std::uint64_t index)
{
    return "key-" + std::to_string(index);
}

} // namespace camphorrock
