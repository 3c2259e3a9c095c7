#pragma once

// Turns an HTTP request of a caller, or of another router on a caller's behalf, into the
// fields of a live_request, checking everything that callers are told to keep to.

#include "core/config/configuration.hpp"
#include "net/http_message.hpp"
#include "router/live_request.hpp"

#include <optional>

namespace camphorrock
{

// Bounds on header values, in bytes.
constexpr std::size_t max_id_size = 128;
constexpr std::size_t max_caller_size = 64;

struct request_rules
{
    duration default_timeout = seconds(10);
    duration max_timeout = seconds(3600);
};

// Fills `request` from `from`, whose target is the caller's. Returns what is wrong with
// it, or none. A caller without a name is "anonymous".
std::optional<problem> read_request(http_request from,
                                    const configuration& config,
                                    const request_rules& rules,
                                    time_point now,
                                    live_request& request);

} // namespace camphorrock
