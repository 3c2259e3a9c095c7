#pragma once

// What a server says of itself in the directory of servers.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstdint>

namespace camphorrock
{

// One life of a server, from its start to its end: the Unix millisecond of its start. A
// server that starts again under its id has another life and holds nothing of before.
struct server_life
{
    std::uint64_t started_ms = 0;

    auto operator<=>(const server_life&) const = default;
};

struct listed_server
{
    server_id id;
    server_life life;
    service_name service;
    endpoint address;
    data_centre zone;
    unsigned slots = 1;       // requests that it works on at once
    bool is_draining = false; // it takes no new work
    duration warm_up_left{};  // how much longer it is slow after its start

    bool operator==(const listed_server&) const = default;
};

} // namespace camphorrock
