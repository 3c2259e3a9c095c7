#pragma once

// The journal of one router for one shard: numbered batches in the store, each a key that
// is created once and never changed. See docs/DESIGN.md, "At most once".

#include "core/base/epoch.hpp"
#include "core/base/key_hash.hpp"
#include "core/base/names.hpp"
#include "core/once/once_key.hpp"
#include "core/once/once_result.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace camphorrock
{

// The request may be forwarded once this entry is in the store.
struct admitted_entry
{
    once_key key;
    std::uint64_t fingerprint = 0; // of the method, the path, the query and the body
    epoch since;

    bool operator==(const admitted_entry&) const = default;
};

// The end of an admitted request. `not_run` frees its id.
struct finished_entry
{
    once_key key;
    std::uint64_t fingerprint = 0;
    once_result result;

    bool operator==(const finished_entry&) const = default;
};

// The router admits requests of this range from now on.
struct claimed_entry
{
    hash_range range;
    epoch since;

    bool operator==(const claimed_entry&) const = default;
};

// The router admits none of this range any more, and all that it admitted has ended.
struct released_entry
{
    hash_range range;
    epoch since;

    bool operator==(const released_entry&) const = default;
};

// Written by another router: claims of this range below this epoch have ended.
struct fenced_entry
{
    hash_range range;
    epoch since;

    bool operator==(const fenced_entry&) const = default;
};

using journal_entry = std::
    variant<admitted_entry, finished_entry, claimed_entry, released_entry, fenced_entry>;

struct journal_batch
{
    std::uint64_t writer =
        0; // a random number that the writing process drew at its start
    std::vector<journal_entry> entries;

    bool operator==(const journal_batch&) const = default;
};

// A batch with its place: the key journal/SHARD/ROUTER/NUMBER.
struct stored_batch
{
    instance_id router;
    std::uint64_t number = 0;
    journal_batch batch;

    bool operator==(const stored_batch&) const = default;
};

} // namespace camphorrock
