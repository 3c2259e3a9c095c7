#pragma once

// The one versioned record that says who owns the keys of a shard. It lives in the store
// and changes only by compare-and-swap; its version is the epoch, the fencing token of
// everything that follows from it. See docs/DESIGN.md, "One owner".
//
// Invariants, checked by validate():
//   - partitions are sorted, do not overlap and cover the whole key space;
//   - an owner and a moving_to name a server of the record;
//   - no `since` exceeds the version.

#include "core/base/epoch.hpp"
#include "core/base/key_hash.hpp"
#include "core/base/names.hpp"
#include "core/base/result.hpp"

#include <vector>

namespace camphorrock
{

// A partition: a range of hashes with one owner or none.
struct partition_entry
{
    hash_range range;
    server_id owner;     // empty: none, requests are refused
    epoch since;         // the version that set the owner or its scheduler; sent with
                         // every grant and request of this partition
    server_id moving_to; // not empty: the owner is being revoked for this server

    bool operator==(const partition_entry&) const = default;
};

// A server and the one router that schedules its work.
struct server_entry
{
    server_id id;
    endpoint address;         // where the server takes requests and grants
    bool checks_epoch = true; // false: the server refuses no stale request
    instance_id scheduler;    // empty: none
    endpoint scheduler_peer;  // where the scheduler takes forwarded requests
    epoch since;              // the version that set the scheduler

    bool operator==(const server_entry&) const = default;
};

// An instance whose vouching counts towards the majority.
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
    std::vector<voter_entry> previous_voters; // not empty: a change of voters is not yet
                                              // fenced, and both sets must agree

    bool operator==(const shard_record&) const = default;
};

// The partition that holds `at`, or null for a record without partitions. O(log n).
const partition_entry* find_partition(const shard_record& record, key_hash at);

// The server of that name, or null. O(log n).
const server_entry* find_server(const shard_record& record, const server_id& id);

// Fails with invalid_argument and the first invariant that the record breaks. O(n log n).
result<void> validate(const shard_record& record);

} // namespace camphorrock
