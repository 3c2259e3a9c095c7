#pragma once

// One request of a script, with what it will cost on a server.

#include "core/base/time.hpp"

#include <cstddef>

namespace camphorrock
{

struct scripted_request
{
    time_point arrival;
    duration service{}; // on a healthy server
    time_point deadline;
    std::size_t caller = 0;
    bool is_long = false;    // by route
    double failure_draw = 0; // in [0, 1), decides on a fault of the server
};

} // namespace camphorrock
