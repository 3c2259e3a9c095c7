#pragma once

// What a scheduler_authority asks its program to do. The program carries out each action
// once and doesn't retry it: scheduler_authority resends messages that were lost.

#include "core/ownership/shard_record.hpp"
#include "core/ownership/shard_report.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace camphorrock
{

// Identifies one request and answer with a server; unique within a scheduler_authority.
struct server_exchange_id
{
    std::uint64_t value = 0;

    auto operator<=>(const server_exchange_id&) const = default;
};

// Ask a voter for a lease vote; pass the answer to lease_vote_answered with the same
// round.
struct request_lease_vote
{
    voter_entry to;
    std::uint64_t round = 0;
    epoch version;
};

// Ask a server for a clock reading. For this and the next two actions, pass the answer to
// server_answered, or the failure to server_failed, with the same exchange.
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

// Send the report to the shard's assigner, if one is known.
struct send_report
{
    shard_report report;
};

// Read the record, of which version `at_least` or a higher one exists, from the store,
// the assigner or a voter.
struct fetch_record
{
    epoch at_least;
};

using scheduler_action = std::variant<request_lease_vote,
                                      send_clock,
                                      send_grant,
                                      send_revoke,
                                      send_report,
                                      fetch_record>;

using scheduler_actions = std::vector<scheduler_action>;

} // namespace camphorrock
