#pragma once

// Parses an HTTP request of a caller, or of another router on a caller's behalf, into the
// fields of a live_request, and checks it against the rules for callers.

#include "core/config/configuration.hpp"
#include "net/http_message.hpp"
#include "router/live_request.hpp"

#include <optional>

namespace camphorrock
{

// Maximum sizes of header values, in bytes.
constexpr std::size_t max_id_size = 128;
constexpr std::size_t max_caller_size = 64;

struct request_rules
{
    duration default_timeout = seconds(10); // of a request without a timeout header
    duration max_timeout = seconds(3600);
};

// Fills `request` from `from`, whose target is the one that the caller sent. Returns the
// problem if the request is invalid, else nullopt. A caller without a name is
// "anonymous". The deadline is at most `max_timeout` after `now`.
std::optional<problem> read_request(http_request from,
                                    const configuration& config,
                                    const request_rules& rules,
                                    time_point now,
                                    live_request& request);

} // namespace camphorrock
