#pragma once

// Remembers ids past their retention in a fixed number of bits: a Bloom filter of two
// generations. contains() is never false for an id of the last `capacity` insertions, and
// is rarely (about 1 in 20000 at capacity) true for one that was never inserted. It can
// therefore refuse a request, never allow a second run.

#include "core/once/once_key.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorrock
{

class id_filter
{
public:
    // Uses `bytes` of memory, both generations together; 0 keeps nothing.
    explicit id_filter(std::size_t bytes);

    // O(1). Starts a new generation where the current one is full.
    void insert(const once_key& key);
    bool contains(const once_key& key) const;

    // Insertions that one generation takes.
    std::size_t capacity() const;

private:
    using bits = std::vector<std::uint64_t>;

    static bool has_all(const bits& words, const once_key& key);

    std::size_t words_;
    bits current_;
    bits previous_;
    std::size_t inserted_ = 0; // into the current generation
};

} // namespace camphorrock
