#pragma once

// What an assigner tells the servers of services that are divided by key.

#include "core/gateway/key_assignment.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorrock
{

// Names an order until its end; never reused.
struct order_id
{
    std::uint64_t value = 0;

    auto operator<=>(const order_id&) const = default;
};

enum class order_kind
{
    grant,   // the server may serve the keys for `hold`, counted from the order's arrival
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
    epoch at;
    duration hold{};       // of a grant
    std::string handover;  // the state that the last owner gave up; empty: none
    duration timeout{};    // for the answer
    bool is_fresh = false; // on a new connection, since kept ones may be silent
};

enum class order_end
{
    accepted,     // `handover` of a release is what the server gave
    stale,        // the server has seen a higher epoch on one of the keys
    other_server, // another server has the address: the one that was meant has ended
    not_sent,     // it cannot have arrived
    no_answer,    // it may have arrived, until its connection was closed
};

// "grant", "release".
std::string_view name_of(order_kind value);

// "accepted", "stale", ...
std::string_view name_of(order_end value);

struct order_result
{
    order_end end = order_end::not_sent;
    std::string handover;
};

} // namespace camphorrock
