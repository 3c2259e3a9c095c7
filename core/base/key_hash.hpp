#pragma once

// The place of a key in its service's key space, and ranges of that space.
//
//     key_hash at = hash_key("quad-EL34-0017");
//     if (range.contains(at)) ...
//
// The hash is XXH3 with 64 bits and seed 0, the same in every program.

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

struct key_hash
{
    std::uint64_t value = 0;

    auto operator<=>(const key_hash&) const = default;
};

// The hash of a key's bytes. O(length).
key_hash hash_key(std::string_view key);

// A range of hashes, both ends included, so that one range can cover the whole space and
// one can cover a single key's hash. Invariant: first <= last.
struct hash_range
{
    key_hash first;
    key_hash last{std::numeric_limits<std::uint64_t>::max()};

    auto operator<=>(const hash_range&) const = default;

    bool contains(key_hash at) const
    {
        return first <= at && at <= last;
    }

    bool covers(const hash_range& other) const
    {
        return first <= other.first && other.last <= last;
    }

    bool overlaps(const hash_range& other) const
    {
        return first <= other.last && other.first <= last;
    }
};

// "0000000000000000-ffffffffffffffff": both ends as 16 hex digits.
std::string to_string(const hash_range& range);

// The reverse of to_string; none for any other text or if first > last.
std::optional<hash_range> parse_hash_range(std::string_view text);

} // namespace camphorrock
