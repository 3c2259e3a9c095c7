#pragma once

// Draws the keys that a caller asks for.

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
    // O(number of keys).
    explicit key_popularity(key_settings settings);

    // A key as asked for `since_start` after the start. O(log keys).
    std::string draw(std::mt19937_64& random, duration since_start) const;

private:
    key_settings settings_;
    std::vector<double> cumulative_; // share of the ranks up to each one
};

// "key-17".
std::string key_text(std::uint64_t index);

} // namespace camphorrock
