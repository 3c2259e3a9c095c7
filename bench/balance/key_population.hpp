#pragma once

// The keys of one service and their popularity.

#include "core/base/key_hash.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorrock
{

struct key_population
{
    std::vector<key_hash> hashes; // sorted
    std::vector<double> weights;  // requests per second, by the index of the key
};

// Returns keys with random hashes. Their popularity, in random order, follows Zipf's law
// with that exponent; the weights add up to `requests_per_s`.
key_population draw_keys(std::size_t key_count,
                         double exponent,
                         double requests_per_s,
                         std::uint64_t seed);

} // namespace camphorrock
