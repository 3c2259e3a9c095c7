#pragma once

// The versioned record of which server owns which keys of a shard. It is kept in the
// store and changes only by compare-and-swap. Its version is the epoch: the fencing token
// of all grants and requests that are based on it. See docs/DESIGN.md, "One owner".
//
// Invariants, checked by validate():
//   - partitions are sorted, do not overlap and cover the whole key space, unless there
//     are none;
//   - servers are sorted by id, without duplicates;
//   - an owner and a moving_to name a server of the record;
//   - no `since` exceeds the version.

#include "core/base/epoch.hpp"
#include "core/base/key_hash.hpp"
#include "core/base/names.hpp"
#include "core/base/result.hpp"

#include <vector>

namespace camphorrock
{

// A range of hashes that has one owner or none.
struct partition_entry
{
    hash_range range;
    server_id owner;     // empty: no owner, and requests are refused
    epoch since;         // the version that set the owner or its scheduler; sent with
                         // every grant and request of this partition
    server_id moving_to; // if not empty, the next owner: the present one is being revoked

    bool operator==(const partition_entry&) const = default;
};

// A server and the router that schedules its requests.
struct server_entry
{
    server_id id;
    endpoint address;         // where the server accepts requests and grants
    bool checks_epoch = true; // false: the server accepts requests of any epoch
    instance_id scheduler;    // empty: no scheduler
    endpoint scheduler_peer;  // where the scheduler accepts forwarded requests
    epoch since;              // the version that set the scheduler

    bool operator==(const server_entry&) const = default;
};

// An instance whose lease vote counts towards the majority.
struct voter_entry
{
    instance_id id;
    endpoint peer;

    bool operator==(const voter_entry&) const = default;
};

struct shard_record
{
    shard_id shard;
    epoch version;
    instance_id assigner; // who wrote this version
    std::vector<partition_entry> partitions;
    std::vector<server_entry> servers; // sorted by id
    std::vector<voter_entry> voters;
    std::vector<voter_entry> previous_voters; // not empty until a change of voters is
                                              // fenced: needs a majority of both sets

    bool operator==(const shard_record&) const = default;
};

// Returns the partition that holds `at`, or null if the record has no partitions.
// O(log n).
const partition_entry* find_partition(const shard_record& record, key_hash at);

// Returns the server with this id, or null. O(log n).
const server_entry* find_server(const shard_record& record, const server_id& id);

// Fails with invalid_argument and a text that names the first invariant that the record
// breaks. O(n log n).
result<void> validate(const shard_record& record);

} // namespace camphorrock
