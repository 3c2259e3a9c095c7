#pragma once

// The parameters and results of the JSON-RPC calls between our processes and to servers;
// the table of methods is in docs/DESIGN.md, "Messages".

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

// shard.vouch: does the voter vouch for this version?
struct vouch_params
{
    shard_id shard;
    epoch version;

    bool operator==(const vouch_params&) const = default;
};

struct vouch_answer
{
    bool ok = false;
    epoch highest; // the highest version that the voter has seen fenced
    config_version config;

    bool operator==(const vouch_answer&) const = default;
};

// shard.fence: refuse lower versions from now on.
struct fence_params
{
    shard_id shard;
    epoch version;

    bool operator==(const fence_params&) const = default;
};

struct fence_answer
{
    bool ok = false;
    epoch highest;
    duration fenced_for{}; // for how long the voter has refused lower versions

    bool operator==(const fence_answer&) const = default;
};

// shard.update: a new version of the record.
struct update_params
{
    shard_record record;
    config_version config;
    endpoint assigner_peer;

    bool operator==(const update_params&) const = default;
};

struct update_answer
{
    epoch version; // the version that the router now has

    bool operator==(const update_answer&) const = default;
};

// What a scheduler has observed of one of its servers since its last report.
struct server_status
{
    server_id id;
    server_condition condition = server_condition::unknown;
    std::uint64_t in_flight = 0;
    std::uint64_t queued = 0;
    std::uint64_t answered = 0;
    std::uint64_t shed = 0; // answers by which the server refused work
    duration slot_time{};   // slot time used

    bool operator==(const server_status&) const = default;
};

// A partition whose moving owner serves it no more: revoked, or the last grant lapsed.
struct released_partition
{
    hash_range range;
    epoch since;

    bool operator==(const released_partition&) const = default;
};

// The load of one key that stands out in its partition.
struct key_traffic
{
    key_hash at;
    duration slot_time{}; // used in a second

    bool operator==(const key_traffic&) const = default;
};

// The load of a partition, averaged over the last seconds.
struct partition_traffic
{
    hash_range range;
    duration slot_time{};              // used in a second
    std::vector<key_traffic> hot_keys; // heaviest first, a few

    bool operator==(const partition_traffic&) const = default;
};

struct shard_status
{
    shard_id shard;
    epoch version;
    std::vector<server_status> servers;
    std::vector<released_partition> released_partitions;
    std::vector<partition_traffic> load; // of its own servers; not in each report

    bool operator==(const shard_status&) const = default;
};

// shard.report: one router's view, sent periodically.
struct report_params
{
    instance_id router;
    endpoint peer;
    data_centre zone;
    bool leaving = false; // the router hands its servers over
    config_version config;
    duration period{}; // the time that the figures cover
    std::vector<shard_status> shards;

    bool operator==(const report_params&) const = default;
};

// The version of one shard that the assigner has.
struct shard_version
{
    shard_id shard;
    epoch version;

    bool operator==(const shard_version&) const = default;
};

struct report_answer
{
    std::vector<shard_version> shards; // in the order of the report
    config_version config;

    bool operator==(const report_answer&) const = default;
};

// ownership.clock has no parameters; its answer is the server's boot clock.
struct clock_answer
{
    std::uint64_t clock_ms = 0;

    bool operator==(const clock_answer&) const = default;
};

// ownership.grant, ownership.renew and ownership.revoke. The grant lapses at
// `as_of_ms + ttl` on the server's clock; a revocation has neither.
struct ownership_params
{
    shard_id shard;
    hash_range partition;
    epoch since; // "epoch" on the wire
    duration ttl{};
    std::uint64_t as_of_ms = 0;

    bool operator==(const ownership_params&) const = default;
};

struct ownership_answer
{
    std::uint64_t clock_ms = 0;
    epoch since; // the highest epoch that the server has seen for the partition

    bool operator==(const ownership_answer&) const = default;
};

} // namespace camphorrock
