#pragma once

// What a queue has to know of a request in order to schedule it.

#include "core/admission/ticket.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"

namespace camphorrock
{

// The group of requests of one service that are expected to take about the same time,
// such as the method and the first segments of the path.
using route_class = tagged<struct route_class_tag>;

struct queued_request
{
    ticket id;
    caller_name caller;
    route_class route;
    time_point deadline;    // an answer after this is of no use to the caller
    bool repeatable = true; // false: a timeout after the start leaves the outcome unknown
    bool is_declared_long = false; // operators expect its route to take long
};

} // namespace camphorrock
