#pragma once

// The configuration of a gateway: which requests go to which services, and what a client
// may send. One document with a version that only rises; see docs/PLATFORM.md for its
// source.

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/config/config_version.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace camphorrock
{

// One destination of a route and its share of the route's requests.
struct route_part
{
    service_name service;
    unsigned weight = 1;

    bool operator==(const route_part&) const = default;
};

// Requests of one host whose path begins with `prefix`.
struct gateway_route
{
    std::string name;
    std::string host;   // lower case, without a port
    std::string prefix; // begins and ends with '/'
    bool is_repeatable = false;
    duration timeout{};        // the longest time that a client is kept waiting
    duration target_latency{}; // an answer within it is worth most
    unsigned rank = 0;         // 0 is the most urgent
    unsigned max_attempts = 1; // servers to which one request may be sent
    std::vector<route_part> parts;

    bool operator==(const gateway_route&) const = default;
};

// How a gateway treats the servers of one service.
struct gateway_service
{
    service_name name;
    bool is_keyed = false;        // divided by key; else any server takes any request
    unsigned max_connections = 0; // that a server accepts from all gateways together
    duration key_warm_up{};       // keys that come without state are slow for so long

    bool operator==(const gateway_service&) const = default;
};

// What a client may send, and how long it may take.
struct client_limits
{
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
    duration header_timeout = seconds(3);
    duration idle_timeout = seconds(15);

    bool operator==(const client_limits&) const = default;
};

struct gateway_config
{
    config_version version;
    std::vector<gateway_route> routes;
    std::vector<gateway_service> services;
    client_limits limits;

    bool operator==(const gateway_config&) const = default;
};

} // namespace camphorrock
