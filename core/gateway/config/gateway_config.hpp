#pragma once

// The configuration of a gateway: which requests are routed to which services, and limits
// on clients. It is one document whose version only increases; see docs/PLATFORM.md for
// its source.

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/config/config_version.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace camphorrock
{

// One destination of a route. Its fraction of the route's requests is its weight divided
// by the sum of the weights.
struct route_part
{
    service_name service;
    unsigned weight = 1;

    bool operator==(const route_part&) const = default;
};

// The requests of one host whose path begins with `prefix`.
struct gateway_route
{
    std::string name;
    std::string host;   // lower case, without a port
    std::string prefix; // begins and ends with '/'
    // False if its destination or timeout could not be read. Its requests are refused; a
    // route with a shorter prefix must not take them, as it may lead to another service.
    bool is_usable = true;
    bool is_repeatable = false;
    duration timeout{};          // maximum time until the client gets an answer
    duration target_latency{};   // answers within it have the most value to the client
    unsigned priority_level = 0; // 0 is the most urgent
    unsigned max_attempts = 1;   // servers to which one request may be sent
    std::vector<route_part> parts;

    bool operator==(const gateway_route&) const = default;
};

// How a gateway treats the servers of one service.
struct gateway_service
{
    service_name name;
    bool is_keyed = false; // each key has an owner; else any server takes any request
    unsigned max_connections = 0; // of a server, from all gateways together
    duration key_warm_up{};       // how long keys are slow that move without their state
    duration warm_up{};           // how long a server is cold that has had no requests
    double warm_up_per_s = 0;     // requests a second that a cold server takes from all
                                  // gateways together; 0: any number

    bool operator==(const gateway_service&) const = default;
};

// Limits on the size and duration of a client's requests.
struct client_limits
{
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
    duration header_timeout = seconds(3);
    duration idle_timeout = seconds(15);

    bool operator==(const client_limits&) const = default;
};

enum class config_part
{
    route,
    service,
    limits,
};

// Returns the name, as in "route".
std::string_view name_of(config_part value);

// A part of the document that could not be read, and why. The other parts hold.
struct config_fault
{
    config_part part = config_part::route;
    std::string text;

    bool operator==(const config_fault&) const = default;
};

struct gateway_config
{
    config_version version;
    std::vector<gateway_route> routes;
    std::vector<gateway_service> services;
    client_limits limits;
    std::vector<config_fault> faults;

    bool operator==(const gateway_config&) const = default;
};

} // namespace camphorrock
