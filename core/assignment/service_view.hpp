#pragma once

// The input of a shard_controller about its service and the routers.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <vector>

namespace camphorrock
{

// A server as the service's configuration declares it.
struct server_view
{
    server_id id;
    endpoint address;
    data_centre zone;
    bool checks_epoch = true; // false: the server accepts requests of stale epochs
    bool is_draining = false; // an operator asked to move its partitions elsewhere

    bool operator==(const server_view&) const = default;
};

struct service_view
{
    std::vector<server_view> servers;
    std::size_t partition_count = 64; // of a new shard
    // An upper bound on the duration of every request that may still be running.
    duration max_request_time = seconds(10);
};

// A router as described by the platform's instance list or by its own reports.
struct router_instance
{
    instance_id id;
    endpoint peer;
    data_centre zone;
    bool is_leaving = false;

    bool operator==(const router_instance&) const = default;
};

} // namespace camphorrock
