#pragma once

// A Bloom filter of two generations that remembers ids past their retention in a fixed
// amount of memory. contains() is never false for an id among the last `capacity`
// insertions, and is rarely (about 1 in 20000 at capacity) true for an id that was never
// inserted. A false positive therefore refuses a request; it never allows a second run.

#include "core/once/once_key.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorrock
{

class id_filter
{
public:
    // `bytes`: memory of both generations together; with 0, nothing is remembered.
    explicit id_filter(std::size_t bytes);

    // Starts a new generation, dropping the older one, if the current one is full. O(1),
    // except that a new generation clears O(bytes).
    void insert(const once_key& key);
    bool contains(const once_key& key) const;

    // The number of insertions that fill one generation.
    std::size_t capacity() const;

private:
    using bits = std::vector<std::uint64_t>;

    static bool has_all(const bits& words, const once_key& key);

    std::size_t word_count_; // of each generation
    bits current_;
    bits previous_;
    std::size_t inserted_ = 0; // into the current generation
};

} // namespace camphorrock
