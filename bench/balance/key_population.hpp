#pragma once

// The keys of one service and how popular each is.

#include "core/base/key_hash.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorrock
{

struct key_population
{
    std::vector<key_hash> hashes; // sorted
    std::vector<double> weights;  // requests a second, by the index of the key
};

// So many keys with Zipf's law of that exponent, together `load` requests a second.
key_population draw_keys(std::size_t n, double exponent, double load, std::uint64_t seed);

} // namespace camphorrock
