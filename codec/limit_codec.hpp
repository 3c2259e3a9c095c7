#pragma once

// The datagrams by which gateways share the rate limits of servers; see
// core/gateway/limits/limit_messages.hpp. They are MessagePack arrays:
//
//     ["token", id, server, rate, longest wait, reply address]
//     ["token_reply", id, granted, wait]
//     ["token_unused", server]
//     ["token_spent", server, rate]
//     ["limits", [server, started at, rate, has ended, age, server, ...]]
//     ["warm_ups", [server, started at, time left, server, ...]]
//
// Times are in microseconds, rates in requests a second.

#include "core/gateway/limits/limit_messages.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

// No notice holds more limits, so that it fits into a datagram.
constexpr std::size_t max_limits_in_notice = 200;

std::string encode_limit_message(const limit_message& message);

// Returns nullopt for bytes that are not such an array, and for rates that are not
// positive numbers or times that are negative or above max_limit_message_time.
std::optional<limit_message> decode_limit_message(std::string_view bytes);

} // namespace camphorrock
