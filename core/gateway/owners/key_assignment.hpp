#pragma once

// Which server owns which keys of the keyed services. A keyed service is one that is
// divided by key among its servers.
//
//     const assigned_key_range* it = assignment.find(service, shard_key{4711});
//     if (it != nullptr && !it->is_moving) send_to(it->owner);
//
// Invariants: the key ranges of a service are sorted by their first key and do not
// overlap; a key in no range has no owner. A key's epoch rises with each change of its
// owner, of the owner's incarnation, or of the range that contains it.

#include "core/base/epoch.hpp"
#include "core/base/names.hpp"
#include "core/gateway/servers/listed_server.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace camphorrock
{

// A key of a keyed service: a number up to last_shard_key that the client sends.
struct shard_key
{
    unsigned value = 0;

    auto operator<=>(const shard_key&) const = default;
};

constexpr unsigned last_shard_key = 65535;

// Includes both ends. Invariant: first <= last.
struct shard_key_range
{
    unsigned first = 0;
    unsigned last = last_shard_key;

    auto operator<=>(const shard_key_range&) const = default;

    bool contains(shard_key key) const
    {
        return first <= key.value && key.value <= last;
    }

    unsigned width() const
    {
        return last - first + 1;
    }
};

struct assigned_key_range
{
    shard_key_range keys;
    server_id owner;
    server_incarnation incarnation; // the incarnation of the owner
    epoch grant_epoch;
    bool is_moving = false; // the owner is releasing the keys; send it no requests

    bool operator==(const assigned_key_range&) const = default;
};

struct service_key_ranges
{
    service_name service;
    std::vector<assigned_key_range> key_ranges;

    bool operator==(const service_key_ranges&) const = default;
};

// Orders assignments: by the term of the assigner that made them, then by the number of
// changes that it has counted.
struct assignment_version
{
    std::uint64_t term = 0;
    std::uint64_t change = 0;

    auto operator<=>(const assignment_version&) const = default;
};

struct key_assignment
{
    assignment_version version;
    instance_id writer;
    epoch epoch_limit; // the writer has used no epoch at or above it
    std::vector<service_key_ranges> services;

    bool operator==(const key_assignment&) const = default;

    // Null if the service or the key has no range. O(services + log ranges).
    const assigned_key_range* find(const service_name& service, shard_key key) const;

    // Null if the service has no entry.
    service_key_ranges* find_service(const service_name& service);
    const service_key_ranges* find_service(const service_name& service) const;
};

} // namespace camphorrock
