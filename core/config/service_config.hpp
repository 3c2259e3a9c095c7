#pragma once

// What operators declare about one service: its servers and how its requests are treated.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorrock
{

// One server of a service.
struct server_config
{
    server_id id;
    endpoint address; // "IP:port"
    data_centre zone;
    bool checks_epoch = true; // the server refuses a request whose epoch is stale
    bool drain = false;       // the server gets no new work and its partitions move away

    bool operator==(const server_config&) const = default;
};

// Requests of one method whose path, after the key, begins with a prefix.
struct route_pattern
{
    std::string method; // as in "POST"; "*" matches every method
    std::string prefix; // begins with "/"; "/" matches every path

    bool operator==(const route_pattern&) const = default;
};

struct service_config
{
    service_name name;
    std::vector<server_config> servers; // sorted by id
    unsigned slots_per_server = 3;      // requests that a server runs concurrently
    unsigned connections_per_server = 110;
    unsigned partitions = 64; // of a new shard; splits and merges change the number later
    bool balance = true;      // partitions are moved between servers to balance the load
    std::vector<route_pattern> repeatable_routes; // requests need no Idempotency-Key
    std::vector<route_pattern> long_routes;       // hint: classified as long at first
    bool servers_deduplicate = false;   // the servers detect repeated ids themselves
    duration max_request = seconds(30); // maximum duration of a request
    unsigned retry_percent = 10;        // retries allowed per 100 first attempts

    bool operator==(const service_config&) const = default;
};

// Returns the first of the routes that matches, or null. `path` is the part after the
// key: "" or "/...". A prefix matches whole segments only: "/a" matches "/a" and "/a/b",
// but not "/ab".
const route_pattern* find_match(const std::vector<route_pattern>& routes,
                                std::string_view method,
                                std::string_view path);

// True if one of the routes matches.
bool matches(const std::vector<route_pattern>& routes,
             std::string_view method,
             std::string_view path);

} // namespace camphorrock
