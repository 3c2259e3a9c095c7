#pragma once

// The properties of a request that a queue needs to schedule it.

#include "core/admission/ticket.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"

namespace camphorrock
{

// A group of requests of one service that are expected to take about the same time, such
// as those with the same method and first path segments.
using route_class = tagged_string<struct route_class_tag>;

struct queued_request
{
    ticket id;
    caller_name caller;
    route_class route;
    time_point deadline;       // an answer after this is of no use to the caller
    bool is_repeatable = true; // if false, a timeout after the start leaves it unknown
                               // whether the request was run
    bool is_declared_long = false; // the service's configuration lists the route as long
};

} // namespace camphorrock
