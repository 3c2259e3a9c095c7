#pragma once

// The input of a balancer: the servers, partitions and loads of one shard.

#include "core/balance/hot_key_sketch.hpp"
#include "core/base/key_hash.hpp"
#include "core/base/names.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace camphorrock
{

struct balanced_server
{
    server_id id;
    double capacity = 1;    // in the unit of the loads, or any that all servers share
    bool takes_keys = true; // false: it is leaving, and its keys move to other servers
};

struct balanced_partition
{
    hash_range range;
    std::size_t server = 0;         // index in `servers`
    double load = 0;                // per second
    double keys = 0;                // estimated number of keys in use; the cost of a move
    std::optional<hot_key> hottest; // empty: no hot key is known
    bool is_moving = false; // a move is in flight; the load still counts for `server`
};

// Partitions are sorted by range and cover the key space; each names a server.
struct balance_view
{
    std::vector<balanced_server> servers;
    std::vector<balanced_partition> partitions;
};

} // namespace camphorrock
