#pragma once

// The JSON forms of key assignments and of the calls between gateways about them:
//
//   keys.report   gateway -> assigner         keys_report -> keys_reply
//   keys.update   assigner -> gateway         keys_update -> {}
//   keys.ended    last assigner -> next one   assigner_term_end -> keys_ended_reply
//   keys.end_term   assigner -> the last one  keys_end_term -> keys_end_reply
//   keys.restarted  a gateway whose process wrote the record and was restarted
//                   -> assigner               assigner_restart -> keys_ended_reply

#include "core/base/result.hpp"
#include "core/gateway/fleet/gateway_groups.hpp"
#include "core/gateway/owners/assigner_term_end.hpp"
#include "core/gateway/owners/assignment_delta.hpp"
#include "core/gateway/owners/grant_notice.hpp"
#include "core/gateway/owners/key_assignment.hpp"

#include <json/value.h>

#include <string>
#include <string_view>
#include <vector>

namespace camphorrock
{

// The keys of the requests for one service since the last report: one entry for each
// request.
struct key_requests
{
    service_name service;
    std::vector<unsigned> keys;
    // Keys of requests that a server refused although the keys are assigned to it.
    std::vector<unsigned> refused;

    bool operator==(const key_requests&) const = default;
};

// A gateway's periodic report to the assigner.
struct keys_report
{
    instance_id sender_id;
    fleet_gateway sender;
    std::uint64_t known_fleet_hash = 0; // fleet_hash() of the gateways that it knows
    assignment_version version;         // of the assignment that it has
    std::vector<key_requests> services;

    bool operator==(const keys_report&) const = default;
};

// Brings a gateway to the current assignment: either the steps from the assignment that
// it has, or the full assignment.
struct keys_update
{
    std::vector<assignment_delta> steps;
    std::vector<key_assignment> full_assignment; // at most one

    bool operator==(const keys_update&) const = default;
};

struct keys_reply
{
    bool is_assigner = false; // false: the other fields are empty
    // The gateways that reported lately. Empty if the reporter already knows them.
    std::vector<fleet_gateway> gateways;
    keys_update update; // empty: the reporter has the current assignment

    bool operator==(const keys_reply&) const = default;
};

struct keys_ended_reply
{
    bool is_assigner = false; // false: the statement had no effect

    bool operator==(const keys_ended_reply&) const = default;
};

// The assigner asks for what the last one says of its term.
struct keys_end_term
{
    endpoint assigner; // the peer address of the one that asks

    bool operator==(const keys_end_term&) const = default;
};

struct keys_end_reply
{
    // At most one; none while it may still send orders.
    std::vector<assigner_term_end> said;

    bool operator==(const keys_end_reply&) const = default;
};

// The functions below that read fail with invalid_argument: with the path of the first
// fault, or if the key ranges of a service are not sorted, overlap, or exceed
// last_shard_key.
Json::Value write_key_assignment(const key_assignment& value);
result<key_assignment> read_key_assignment(const Json::Value& value);

// Write and read the same form as text, for the store.
std::string key_assignment_text(const key_assignment& value);
result<key_assignment> parse_key_assignment(std::string_view text);

Json::Value write_keys_update(const keys_update& value);
result<keys_update> read_keys_update(const Json::Value& value);

Json::Value write_keys_report(const keys_report& value);
result<keys_report> read_keys_report(const Json::Value& value);
Json::Value write_keys_reply(const keys_reply& value);
result<keys_reply> read_keys_reply(const Json::Value& value);

// Reading fails also if a time that is left is negative.
Json::Value write_term_end(const assigner_term_end& value);
result<assigner_term_end> read_term_end(const Json::Value& value);

Json::Value write_keys_end_term(const keys_end_term& value);
result<keys_end_term> read_keys_end_term(const Json::Value& value);
Json::Value write_keys_end_reply(const keys_end_reply& value);
result<keys_end_reply> read_keys_end_reply(const Json::Value& value);

Json::Value write_assigner_restart(const assigner_restart& value);
result<assigner_restart> read_assigner_restart(const Json::Value& value);

Json::Value write_keys_ended_reply(const keys_ended_reply& value);
result<keys_ended_reply> read_keys_ended_reply(const Json::Value& value);

// The gateway that holds the assigner role: the value of the role's key in the store.
struct assigner_holder
{
    instance_id id;
    endpoint peer;

    bool operator==(const assigner_holder&) const = default;
};

std::string grant_bound_text(const grant_bound& value);
result<grant_bound> parse_grant_bound(std::string_view text);

std::string assigner_holder_text(const assigner_holder& value);
result<assigner_holder> parse_assigner_holder(std::string_view text);

} // namespace camphorrock
