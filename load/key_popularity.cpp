#include "load/key_popularity.hpp"

#include <algorithm>
#include <cmath>

namespace camphorrock
{
namespace
{

// How far the hot key moves at a time; a prime, so that it comes to all keys.
constexpr std::uint64_t hot_key_stride = 7919;

} // namespace

key_popularity::key_popularity(key_settings settings) : settings_(settings)
{
    double total = 0;
    for (std::uint64_t rank = 1; rank <= settings_.count; ++rank)
    {
        total += std::pow(static_cast<double>(rank), -settings_.zipf);
        cumulative_.push_back(total);
    }
}

std::string key_popularity::draw(std::mt19937_64& random, duration since_start) const
{
    double at = std::uniform_real_distribution<>(0, cumulative_.back())(random);
    auto it = std::upper_bound(cumulative_.begin(), cumulative_.end() - 1, at);
    auto rank = static_cast<std::uint64_t>(it - cumulative_.begin());
    std::uint64_t moves = 0;
    if (settings_.hot_key_period > duration(0))
    {
        moves = static_cast<std::uint64_t>(since_start / settings_.hot_key_period);
    }
    return key_text((rank + moves * hot_key_stride) % settings_.count);
}

std::string key_text(std::uint64_t index)
{
    return "key-" + std::to_string(index);
}

} // namespace camphorrock
