#include "bench/balance/key_population.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace camphorrock
{

key_population draw_keys(std::size_t key_count,
                         double exponent,
                         double requests_per_s,
                         std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    key_population keys;
    for (std::size_t i = 0; i < key_count; ++i)
    {
        keys.hashes.push_back(key_hash{random()});
        keys.weights.push_back(std::pow(static_cast<double>(i + 1), -exponent));
    }
    std::sort(keys.hashes.begin(), keys.hashes.end());
    std::shuffle(keys.weights.begin(), keys.weights.end(), random);
    const double sum = std::accumulate(keys.weights.begin(), keys.weights.end(), 0.0);
    for (double& it : keys.weights)
    {
        it *= requests_per_s / sum;
    }
    return keys;
}

} // namespace camphorrock
