#pragma once

// What one gateway has measured at a server since its last report.

#include "core/base/time.hpp"
#include "core/gateway/servers/remote_loads.hpp"

namespace camphorrock
{

struct server_service_time
{
    server_tag server;
    unsigned answers = 0;
    duration total{}; // sum of the service times of these answers

    bool operator==(const server_service_time&) const = default;
};

} // namespace camphorrock
