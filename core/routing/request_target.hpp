#pragma once

// The caller's request target: /{service}/{key}[/path][?query].
//
//     std::optional<request_target> target =
//     parse_request_target("/valves/quad-17/sheet?x=1"); target->service;  // valves
//     target->key;      // quad-17
//
// The key is percent-decoded, so that two spellings of one key have one owner; `rest`
// stays as it was sent and is passed on to the server.

#include "core/base/key_hash.hpp"
#include "core/base/names.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

struct request_target
{
    service_name service;
    std::string key;  // decoded; never empty
    std::string rest; // "" or "/path?query", as sent
    key_hash hash;    // of `key`
};

// Bounds on what is accepted, in bytes.
constexpr std::size_t max_service_name_size = 64;
constexpr std::size_t max_key_size = 512;

// None for a target without service or key, with a bad percent escape, an escaped zero
// byte, a name or key over the bounds, or a service name outside [A-Za-z0-9._-].
// O(length).
std::optional<request_target> parse_request_target(std::string_view text);

} // namespace camphorrock
