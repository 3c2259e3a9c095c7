#pragma once

// The messages by which gateways share the rate limits of servers; see server_limits.hpp
// and token_exchange.hpp. They are sent as datagrams, which may be lost, repeated or
// late.

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/gateway/limits/warm_up_rate.hpp"
#include "core/gateway/servers/listed_server.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace camphorrock
{

// Identifies a request for a token: random, drawn by the gateway that asks.
struct token_id
{
    std::uint64_t value = 0;

    auto operator<=>(const token_id&) const = default;
};

// Asks the gateway that counts for the server.
struct token_request
{
    token_id id;
    server_id server;
    double rate = 0; // the server's limit
    duration max_wait{};
    endpoint reply_to;

    bool operator==(const token_request&) const = default;
};

struct token_reply
{
    token_id id;
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

// No message says that an observation is older, or that a wait is longer.
constexpr duration max_limit_message_time = std::chrono::hours(1);

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

// The servers that are cold by their answers to the sender. Builds that do not know this
// message learn the same from the servers' entries, a second or two later.
struct warm_ups_notice
{
    std::vector<cold_server> servers;

    bool operator==(const warm_ups_notice&) const = default;
};

using limit_message = std::variant<token_request,
                                   token_reply,
                                   token_unused,
                                   token_spent,
                                   limits_notice,
                                   warm_ups_notice>;

} // namespace camphorrock
