#pragma once

// The hash by which all gateways of a fleet divide servers and tasks among themselves
// alike. It is the same in all processes and builds.

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace camphorrock
{

inline std::uint64_t seeded_hash(const std::string& text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace camphorrock
