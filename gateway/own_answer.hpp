#pragma once

// The answers that a gateway itself gives, in place of a server's.

#include "core/base/time.hpp"
#include "net/http_message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

// Why a gateway answers by itself.
enum class own_reason
{
    no_route,        // the configuration has no such route
    no_config,       // this gateway has no configuration yet
    no_key,          // the service is divided by key and the request names none
    no_server,       // no server may be chosen now
    no_owner,        // no server owns the key now
    overloaded,      // the servers could not answer in time
    shed,            // the servers that were tried had no room
    unreachable,     // no server could be reached
    waited_too_long, // the time ran out before the request was sent
    timed_out,       // the time ran out at a server, which may have run the request
    server_lost,     // a server broke off, and may have run the request
    bad_answer,      // what came was not a server's answer to this request
};

// "no_route", "no_config", ...
std::string_view name_of(own_reason why);

// True where the answer says that the request was not run and never will be.
bool is_not_run(own_reason why);

// `retry_after` is sent only with an answer that says that the request was not run.
http_response make_own_answer(own_reason why, std::optional<duration> retry_after);

} // namespace camphorrock
