#pragma once

// The parameters and results of the JSON-RPC calls between this system's processes and to
// servers. docs/DESIGN.md, "Messages", lists the methods.

#include "core/base/epoch.hpp"
#include "core/base/key_hash.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/config/config_version.hpp"
#include "core/ownership/shard_record.hpp"
#include "core/ownership/shard_report.hpp"

#include <cstdint>
#include <vector>

namespace camphorrock
{

// shard.vouch: asks a voter for its lease vote for this version of the shard record.
struct lease_vote_params
{
    shard_id shard;
    epoch version;

    bool operator==(const lease_vote_params&) const = default;
};

struct lease_vote_answer
{
    bool ok = false;       // the voter grants its vote
    epoch highest;         // the highest version of the record that the voter knows
    config_version config; // in force at the voter; "config_version" in JSON

    bool operator==(const lease_vote_answer&) const = default;
};

// shard.fence: asks a voter to refuse lower versions from now on.
struct fence_params
{
    shard_id shard;
    epoch version;

    bool operator==(const fence_params&) const = default;
};

struct fence_answer
{
    bool ok = false;       // the voter has a recent read of the record: the fence counts
    epoch highest;         // as in lease_vote_answer
    duration fenced_for{}; // for how long the voter has refused lower versions

    bool operator==(const fence_answer&) const = default;
};

// shard.update: a new version of the record.
struct update_params
{
    shard_record record;
    config_version config;  // in force at the assigner
    endpoint assigner_peer; // where the assigner accepts calls

    bool operator==(const update_params&) const = default;
};

struct update_answer
{
    epoch version; // the version that the router now has

    bool operator==(const update_answer&) const = default;
};

// What a scheduler has observed of one of its servers. `answered`, `shed` and `slot_time`
// count from its last report.
struct server_status
{
    server_id id;
    server_condition condition = server_condition::unknown;
    std::uint64_t in_flight = 0;
    std::uint64_t queued = 0;
    std::uint64_t answered = 0;
    std::uint64_t shed = 0; // answers in which the server refused the request
    duration slot_time{};   // slot time that requests used

    bool operator==(const server_status&) const = default;
};

// A moving partition that its old owner no longer serves: the grant was revoked or
// lapsed.
struct released_partition
{
    hash_range range;
    epoch since;

    bool operator==(const released_partition&) const = default;
};

// The load of one hot key of a partition.
struct key_traffic
{
    key_hash at;          // the hash of the key
    duration slot_time{}; // used per second

    bool operator==(const key_traffic&) const = default;
};

// The load of a partition, averaged over the last few seconds.
struct partition_traffic
{
    hash_range range;
    duration slot_time{};              // used per second
    std::vector<key_traffic> hot_keys; // a few, the hottest first

    bool operator==(const partition_traffic&) const = default;
};

// One router's view of one shard.
struct shard_status
{
    shard_id shard;
    epoch version;
    std::vector<server_status> servers;
    std::vector<released_partition> released_partitions;
    std::vector<partition_traffic> load; // of its own servers; empty in most reports

    bool operator==(const shard_status&) const = default;
};

// shard.report: one router's view of its shards, sent periodically.
struct report_params
{
    instance_id router;
    endpoint peer; // where the router accepts calls
    data_centre zone;
    bool leaving = false;  // the router hands its servers over to other routers
    config_version config; // in force at the router
    duration period{};     // the time that the counts cover
    std::vector<shard_status> shards;

    bool operator==(const report_params&) const = default;
};

// The version of a shard's record that the assigner has; 0: none.
struct shard_version
{
    shard_id shard;
    epoch version;

    bool operator==(const shard_version&) const = default;
};

struct report_answer
{
    std::vector<shard_version> shards; // in the order of the report
    config_version config;             // in force at the assigner

    bool operator==(const report_answer&) const = default;
};

// ownership.clock has no parameters. Its answer is a reading of the server's boot clock.
struct clock_answer
{
    std::uint64_t clock_ms = 0;

    bool operator==(const clock_answer&) const = default;
};

// ownership.grant, ownership.renew and ownership.revoke. The grant lapses when the
// server's clock reads `as_of_ms + ttl`. Both are 0 in a revocation.
struct ownership_params
{
    shard_id shard;
    hash_range partition;
    epoch since; // of the grant; "epoch" in JSON
    duration ttl{};
    std::uint64_t as_of_ms = 0;

    bool operator==(const ownership_params&) const = default;
};

struct ownership_answer
{
    std::uint64_t clock_ms = 0; // the server's boot clock
    // The highest epoch that the server has received for the partition; "epoch" in JSON.
    // The epoch of the request if the server accepted it.
    epoch since;

    bool operator==(const ownership_answer&) const = default;
};

} // namespace camphorrock
