#pragma once

// What a scheduler_authority asks its program to do. Messages may be lost: the machine
// sends again by itself, so an action is carried out once and never repeated.

#include "core/ownership/shard_record.hpp"
#include "core/ownership/shard_report.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace camphorrock
{

// Names one exchange with a server, unique within the machine.
struct server_exchange_id
{
    std::uint64_t value = 0;

    auto operator<=>(const server_exchange_id&) const = default;
};

// Ask a voter to vouch; the answer goes to vouch_answered with the same round.
struct send_vouch
{
    voter_entry to;
    std::uint64_t round = 0;
    epoch version;
};

// The answer to each of the three below goes to server_answered with the same exchange.
struct send_clock
{
    server_id to;
    endpoint address;
    server_exchange_id exchange;
};

struct send_grant
{
    server_id to;
    endpoint address;
    server_exchange_id exchange;
    grant_message message;
};

struct send_revoke
{
    server_id to;
    endpoint address;
    server_exchange_id exchange;
    revoke_message message;
};

// Send to the shard's assigner, if one is known.
struct send_report
{
    shard_report report;
};

// A higher version exists: read the record from the store, the assigner or a voter.
struct fetch_record
{
    epoch at_least;
};

using scheduler_action = std::
    variant<send_vouch, send_clock, send_grant, send_revoke, send_report, fetch_record>;

using scheduler_actions = std::vector<scheduler_action>;

} // namespace camphorrock
