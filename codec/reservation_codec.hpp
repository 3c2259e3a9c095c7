#pragma once

// The datagrams by which gateways reserve at the gateway that counts the requests in
// flight at a server; see core/gateway/servers/in_flight_counter.hpp. They are
// MessagePack arrays:
//
//     ["reserve", tag, id, reply address]
//     ["reserved", id, other requests in flight]
//     ["release", tag, id]

#include "core/gateway/servers/in_flight_counter.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace camphorrock
{

struct reserve_request
{
    reservation wanted;
    endpoint reply_to;

    bool operator==(const reserve_request&) const = default;
};

struct reserve_reply
{
    std::uint64_t id = 0;        // of the reservation
    unsigned other_requests = 0; // in flight at the server

    bool operator==(const reserve_reply&) const = default;
};

struct reserve_release
{
    reservation held;

    bool operator==(const reserve_release&) const = default;
};

using reservation_message = std::variant<reserve_request, reserve_reply, reserve_release>;

std::string encode_reservation(const reservation_message& message);

// Returns nullopt for bytes that are not such an array.
std::optional<reservation_message> decode_reservation(std::string_view bytes);

} // namespace camphorrock
