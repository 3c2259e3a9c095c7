#pragma once

// The datagrams by which gateways share the rate limits of servers; see
// core/gateway/server_limits.hpp and token_counter.hpp. They are MessagePack arrays:
//
//     ["token", id, server, rate, longest wait, reply address]
//     ["token_reply", id, granted, wait]
//     ["token_unused", server]
//     ["token_spent", server, rate]
//     ["limits", [server, started at, rate, has ended, age, server, ...]]
//
// Times are in microseconds, rates in requests a second.

#include "core/gateway/server_limits.hpp"
#include "core/gateway/token_counter.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorrock
{

// Asks the gateway that counts for the server.
struct token_request
{
    std::uint64_t id = 0; // random, drawn by the gateway that asks
    server_id server;
    double rate = 0; // the server's limit
    duration max_wait{};
    endpoint reply_to;

    bool operator==(const token_request&) const = default;
};

struct token_reply
{
    std::uint64_t id = 0; // of the request
    bool is_granted = false;
    duration wait{}; // as in token_decision

    bool operator==(const token_reply&) const = default;
};

// A token that was granted is not used.
struct token_unused
{
    server_id server;

    bool operator==(const token_unused&) const = default;
};

// Something was sent to the server without a token.
struct token_spent
{
    server_id server;
    double rate = 0;

    bool operator==(const token_spent&) const = default;
};

// One observation of a limit, with its age in place of its time.
struct aged_limit
{
    server_id server;
    server_incarnation incarnation;
    double rate = 0;
    bool has_ended = false;
    duration age{};

    bool operator==(const aged_limit&) const = default;
};

// The limits that a gateway knows.
struct limits_notice
{
    std::vector<aged_limit> limits;

    bool operator==(const limits_notice&) const = default;
};

using limit_message =
    std::variant<token_request, token_reply, token_unused, token_spent, limits_notice>;

// No notice holds more limits, so that it fits into a datagram.
constexpr std::size_t max_limits_in_notice = 200;

std::string encode_limit_message(const limit_message& message);

// Returns nullopt for bytes that are not such an array, and for rates that are not
// positive numbers or times that are negative or above an hour.
std::optional<limit_message> decode_limit_message(std::string_view bytes);

} // namespace camphorrock
