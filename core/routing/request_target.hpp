#pragma once

// The target of a caller's request: /{service}/{key}[/path][?query].
//
//     auto target = parse_request_target("/valves/quad-17/sheet?x=1");
//     target->service;  // valves
//     target->key;      // quad-17
//     target->rest;     // /sheet?x=1
//
// The key is percent-decoded, so that all encodings of a key have the same owner. `rest`
// is passed to the server as it was received.

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
    std::string rest; // "", "/path", "?query" or "/path?query", as received
    key_hash hash;    // of `key`
};

// Bounds in bytes; that of the key is on its decoded form.
constexpr std::size_t max_service_name_size = 64;
constexpr std::size_t max_key_size = 512;

// Returns nullopt for a target without service or key, with a malformed percent escape or
// an escaped zero byte, with a service name or key over the bounds, or with a service
// name outside [A-Za-z0-9._-]. O(length).
std::optional<request_target> parse_request_target(std::string_view text);

} // namespace camphorrock
