#pragma once

// The orders that an assigner sends to the servers of keyed services, and how they end.

#include "core/gateway/limits/server_limits.hpp"
#include "core/gateway/limits/warm_up_rate.hpp"
#include "core/gateway/owners/key_assignment.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorrock
{

// Identifies an order of one assigner; never reused by it.
struct order_id
{
    std::uint64_t value = 0;

    auto operator<=>(const order_id&) const = default;
};

enum class order_kind
{
    grant,   // the server may serve the keys for `hold_time` from the order's arrival
    release, // the server takes no more work on the keys, and answers once it has none
};

struct key_order
{
    order_id id;
    order_kind kind = order_kind::grant;
    service_name service;
    server_id server;
    endpoint address;
    shard_key_range keys;
    epoch at;             // the epoch of the grant, or one above it for a release
    duration hold_time{}; // of a grant
    std::string handover; // state that the last owner released; empty if none
    duration timeout{};   // for the answer
    bool use_new_connection = false; // as pooled connections may be unresponsive
};

enum class order_end
{
    accepted,     // for a release, `handover` is the state that the server returned
    stale,        // the server has seen a higher epoch for one of the keys
    other_server, // another server has the address: the intended one has ended
    rejected,     // the server does not carry out such an order, and did not this one
    not_sent,     // the order cannot have arrived
    no_answer,    // the order may have arrived before its connection was closed
};

// "grant", "release".
std::string_view name_of(order_kind value);

// "accepted", "stale", ...
std::string_view name_of(order_end value);

struct order_result
{
    order_end end = order_end::not_sent;
    std::string handover;
    bool is_leaving = false;        // the answer announces that the server leaves
    limit_statement limit = {};     // what the answer says of the server's limit
    warm_up_statement warm_up = {}; // and of its warm-up
    int status = 0; // HTTP status of the server's answer; 0 without an answer
};

} // namespace camphorrock
