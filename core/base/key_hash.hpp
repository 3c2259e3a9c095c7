#pragma once

// The hash of a key, which is its position in the key space of its service, and ranges of
// that space.
//
//     key_hash at = hash_key("quad-EL34-0017");
//     if (range.contains(at)) ...
//
// The hash is 64-bit XXH3 with seed 0. All programs use the same hash.

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

// Returns the hash of the bytes of `key`. O(length).
key_hash hash_key(std::string_view key);

// A closed range of hashes: both ends are included, so that one range can cover the whole
// space and another the hash of a single key. Invariant: first <= last. The default is
// the whole space.
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

// Returns both ends as 16 hex digits, as in "0000000000000000-ffffffffffffffff".
std::string to_string(const hash_range& range);

// The inverse of to_string. Returns nullopt for any other text or if first > last.
std::optional<hash_range> parse_hash_range(std::string_view text);

} // namespace camphorrock
