#pragma once

// The datagrams by which gateways share what they know of requests that crash servers;
// see core/gateway/retry/crash_messages.hpp. They are MessagePack arrays:
//
//     ["trial", id, service, whole, path, known for whole, known for path, server,
//      lifetime, reply address]
//     ["trial_reply", id, answer]
//     ["trial_end", id, service, whole, path, end, server, started ago, ended ago,
//      reply address]
//     ["trial_noted", id]
//     ["suspects", [fingerprint, crashes, fingerprint, ...]]
//     ["verdicts", reply address]
//
// `whole` and `path` are the two fingerprints of a request, answers and ends are names,
// as in trial_answer_names, and times are in microseconds.

#include "core/gateway/retry/crash_messages.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

// No notice holds more rows, so that it fits into a datagram.
constexpr std::size_t max_suspects_in_notice = 64;

std::string encode_crash_message(const crash_message& message);

// Returns nullopt for bytes that are not such an array, and for times that are negative
// or above max_crash_message_time.
std::optional<crash_message> decode_crash_message(std::string_view bytes);

} // namespace camphorrock
