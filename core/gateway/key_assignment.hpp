#pragma once

// Which server owns which keys of the services that are divided by key.
//
//     const key_share* it = assignment.find(service, shard_key{4711});
//     if (it != nullptr && !it->is_moving) send_to(it->owner);
//
// Invariants: the shares of a service are sorted by their first key and do not overlap;
// keys in no share have no owner. A key's epoch rises with each change of its owner, of
// the owner's life, or of the share that it is in.

#include "core/base/epoch.hpp"
#include "core/base/names.hpp"
#include "core/gateway/listed_server.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace camphorrock
{

// A key of a service that is divided by key: a small number that the client sends.
struct shard_key
{
    unsigned value = 0;

    auto operator<=>(const shard_key&) const = default;
};

constexpr unsigned last_shard_key = 65535;

// Both ends belong to it. Invariant: first <= last.
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

struct key_share
{
    shard_key_range keys;
    server_id owner;
    server_life life; // of the owner
    epoch at;
    bool is_moving = false; // the owner gives the keys up; it is not to get requests

    bool operator==(const key_share&) const = default;
};

struct service_shares
{
    service_name service;
    std::vector<key_share> shares;

    bool operator==(const service_shares&) const = default;
};

// Orders assignments: the term of the assigner that made one, and its count of changes.
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
    epoch limit; // no epoch at or above it has been used by the writer
    std::vector<service_shares> services;

    bool operator==(const key_assignment&) const = default;

    // Null where the service or the key has no share. O(services + log shares).
    const key_share* find(const service_name& service, shard_key key) const;

    // Null where the service has no shares.
    service_shares* find_service(const service_name& service);
    const service_shares* find_service(const service_name& service) const;
};

} // namespace camphorrock
