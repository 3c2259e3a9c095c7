#pragma once

// One request of a script and the service time that it takes on a server.

#include "core/base/time.hpp"

#include <cstddef>

namespace camphorrock
{

struct scripted_request
{
    time_point arrival;
    duration service_time{}; // on a server with slowdown 1
    time_point deadline;
    std::size_t caller = 0;
    bool is_long = false;    // by route
    double failure_draw = 0; // in [0, 1); fails if below the failure rate
};

} // namespace camphorrock
