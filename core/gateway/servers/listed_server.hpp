#pragma once

// The entry that a server writes about itself into the directory of servers.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstdint>

namespace camphorrock
{

// One incarnation of a server, from its start to its end, identified by the start time in
// Unix milliseconds. A server that restarts under its id is a new incarnation and keeps
// no state of the previous one.
struct server_incarnation
{
    std::uint64_t started_ms = 0;

    auto operator<=>(const server_incarnation&) const = default;
};

struct listed_server
{
    server_id id;
    server_incarnation incarnation;
    service_name service;
    endpoint address;
    data_centre zone;
    unsigned slots = 1;       // requests that the server runs concurrently
    bool is_draining = false; // the server takes no new work
    duration warm_up_left{};  // how much longer the server is slow after its start

    bool operator==(const listed_server&) const = default;
};

} // namespace camphorrock
