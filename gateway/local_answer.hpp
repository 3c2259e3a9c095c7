#pragma once

// The answers that a gateway makes itself when it has no server's answer to forward.

#include "core/base/time.hpp"
#include "net/http_message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

// Why a gateway answers a request itself.
enum class local_answer_reason
{
    no_route,         // the configuration has no route for the host and path
    stopping,         // this gateway stops, and the request came too late
    no_config,        // this gateway has no configuration yet
    route_unreadable, // the route's destination or timeout could not be read
    no_key,           // the service is keyed and the request has no valid key
    no_server,        // no server of the service is eligible now
    no_owner,         // no server owns the key now
    overloaded,       // no server is expected to answer in time
    paused,           // the servers that may run it asked for pauses that last too long
    limited,          // the servers that may run it have reached their rate limits
    full,             // the servers that may run it hold all that they can
    suspected,        // a server crashed under the request; another attempt of it runs
    shed,             // the servers that were tried shed the request
    unreachable,      // no server could be reached
    waited_too_long,  // the deadline passed before the request was sent
    timed_out,        // the deadline passed after it was sent; it may have been run
    server_lost,      // the answer was lost or invalid; the request may have been run
    crashes_servers,  // servers crash under the request; it is sent to none any more
    unproven_refusal, // a server's status reads as "not run", but it may have been run
};

// "no_route", "no_config", ...
std::string_view name_of(local_answer_reason reason);

// True if the answer states that the request was not run and never will be.
bool is_not_run(local_answer_reason reason);

// True for a status by which a client knows that its request was not run and never will
// be, so that also an unrepeatable one may be sent again.
bool promises_not_run(int status);

// `retry_after` is sent, in seconds, only with an answer that states that the request was
// not run.
http_response make_local_answer(local_answer_reason reason,
                                std::optional<duration> retry_after);

} // namespace camphorrock
