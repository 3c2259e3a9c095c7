#pragma once

// Draws the keys of a caller's requests from a Zipf distribution.

#include "load/load_settings.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace camphorrock
{

class key_popularity
{
public:
    // Takes O(number of keys) time and memory.
    explicit key_popularity(key_settings settings);

    // Returns a random key for a request that arrives `elapsed` after the start of the
    // load. Takes O(log keys) time.
    std::string draw_key(std::mt19937_64& random, duration elapsed) const;

private:
    key_settings settings_;
    std::vector<double> cumulative_weights_; // by rank: the sum of the weights up to it
};

// Returns "key-17" for index 17.
std::string key_text(std::uint64_t index);

} // namespace camphorrock
