#pragma once

// How a gateway that has no way to a server hands a request to another one, on the port
// for other gateways. The request is sent as it is, with the target
//
//     /forward/v1/CONFIG/ATTEMPTS/OWN/path?query
//
// CONFIG is the version of the configuration by which the first gateway chose the route,
// ATTEMPTS the number of servers at which the request may still be run. Each answer says
// in Camphorrock-Forward what became of the request; the first gateway removes that
// header. An answer without it comes from a gateway that does not know this protocol, and
// has not run the request.
//
// A request is forwarded once: the second gateway sends it by its own links or not at
// all.

#include "core/config/config_version.hpp"
#include "net/http_message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

enum class forward_end
{
    answered,    // the answer is that of a server
    not_run,     // the gateway answered itself; the request was not run, and will not be
    unreachable, // the same, since the server cannot be reached from there either
    unknown,     // the gateway answered itself; the request may have been run
    cut_off,     // not taken on: no server can be reached from there
    full,        // not taken on: the gateway has too many forwarded requests
    stopping,    // not taken on: the gateway stops
    behind,      // not taken on: its configuration is older
    unsupported, // not taken on: the gateway does not know the protocol
};

// "answered", "not_run", ...
std::string_view name_of(forward_end value);

// True if the gateway did not take the request on; another one may.
bool is_declined(forward_end value);

// What the first gateway says with the request.
struct forward_terms
{
    config_version config;
    unsigned max_attempts = 1;

    bool operator==(const forward_terms&) const = default;
};

struct forward_target
{
    forward_terms terms;
    std::string target; // of the request itself, beginning with a slash
};

// True if a request with that target can be forwarded.
bool is_forwardable(std::string_view target);

// True for any version of the protocol.
bool is_forward_target(std::string_view target);

std::string format_forward_target(const forward_target& it);

// Empty if it is of another version or malformed.
std::optional<forward_target> parse_forward_target(std::string_view target);

// The answer to a request that was not taken on. The request's id is to be added.
http_response make_decline(forward_end reason);

// Replaces what the answer may already say.
void set_forward_end(http_response& answer, forward_end end);

// Removes and returns what the answer says; `unknown` for a value that is not known. An
// answer that says nothing is `unsupported` if it is a refusal, and else `unknown`.
forward_end take_forward_end(http_response& answer);

} // namespace camphorrock
