#pragma once

// The journal that one router writes for one shard: a sequence of numbered batches in the
// store, each under a key that is created once and never changed. See docs/DESIGN.md, "At
// most once".
//
// `since` is the epoch of the entry's partition or range: the version of the shard record
// that set its owner or scheduler. A higher epoch supersedes a lower one.

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

// The request may be sent to a server as soon as this entry is in the store.
struct admitted_entry
{
    once_key key;
    std::uint64_t fingerprint = 0; // of the method, the path, the query and the body
    epoch since;

    bool operator==(const admitted_entry&) const = default;
};

// The outcome of an admitted request. `not_run` frees its id.
struct finished_entry
{
    once_key key;
    std::uint64_t fingerprint = 0;
    once_result result;

    bool operator==(const finished_entry&) const = default;
};

// The router may admit requests of this range from here on.
struct claimed_entry
{
    hash_range range;
    epoch since;

    bool operator==(const claimed_entry&) const = default;
};

// The router admits no further requests of this range, and all that it admitted have
// ended.
struct released_entry
{
    hash_range range;
    epoch since;

    bool operator==(const released_entry&) const = default;
};

// Written by another router into this journal: ends the claims of this range at epochs
// below this one.
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
    // Identifies the writing process and its opening of the journal: a random number that
    // the process drew at its start, plus the number of openings so far.
    std::uint64_t writer = 0;
    std::vector<journal_entry> entries;

    bool operator==(const journal_batch&) const = default;
};

// A batch with its location in the store: the key journal/SHARD/ROUTER/NUMBER.
struct stored_batch
{
    instance_id router;
    std::uint64_t number = 0;
    journal_batch batch;

    bool operator==(const stored_batch&) const = default;
};

} // namespace camphorrock
