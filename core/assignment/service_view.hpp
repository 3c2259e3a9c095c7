#pragma once

// What a shard_controller learns of its service and of the routers.

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
    bool checks_epoch = true;
    bool is_draining = false; // an operator's order: move its partitions elsewhere

    bool operator==(const server_view&) const = default;
};

struct service_view
{
    std::vector<server_view> servers;
    std::size_t partition_count = 64; // of a new shard
    // The longest that a request may take which still runs.
    duration max_request_time = seconds(10);
};

// A router as the platform's instance list has it, or as it describes itself.
struct router_instance
{
    instance_id id;
    endpoint peer;
    data_centre zone;
    bool is_leaving = false;

    bool operator==(const router_instance&) const = default;
};

} // namespace camphorrock
