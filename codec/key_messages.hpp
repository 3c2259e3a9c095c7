#pragma once

// The JSON forms of assignments of keys, and of the calls between gateways about them:
//
//   keys.report   gateway -> assigner   keys_report -> keys_reply
//   keys.update   assigner -> gateway   keys_update -> {}

#include "core/base/result.hpp"
#include "core/gateway/assignment_delta.hpp"
#include "core/gateway/gateway_groups.hpp"
#include "core/gateway/key_assignment.hpp"

#include <json/value.h>

#include <string>
#include <string_view>
#include <vector>

namespace camphorrock
{

// The keys of one service's requests since the last report, one entry a request.
struct key_requests
{
    service_name service;
    std::vector<unsigned> keys;
    std::vector<unsigned> refused; // keys that a server refused though it should own them

    bool operator==(const key_requests&) const = default;
};

struct keys_report
{
    instance_id from;
    fleet_gateway sender;
    std::uint64_t fleet = 0;    // fleet_tag() of the gateways that it knows
    assignment_version version; // that it goes by
    std::vector<key_requests> services;

    bool operator==(const keys_report&) const = default;
};

// What leads a gateway to the present assignment: steps from the one that it goes by, or
// the whole of it.
struct keys_update
{
    std::vector<assignment_delta> steps;
    std::vector<key_assignment> whole; // one, or none

    bool operator==(const keys_update&) const = default;
};

struct keys_reply
{
    bool is_assigner = false;            // else the rest is empty
    std::vector<fleet_gateway> gateways; // that reported lately; none if it knows them
    keys_update update; // empty where the gateway's assignment is the present

    bool operator==(const keys_reply&) const = default;
};

Json::Value write_key_assignment(const key_assignment& value);
result<key_assignment> read_key_assignment(const Json::Value& value);

// The text of the record in the store.
std::string key_assignment_text(const key_assignment& value);
result<key_assignment> parse_key_assignment(std::string_view text);

Json::Value write_keys_update(const keys_update& value);
result<keys_update> read_keys_update(const Json::Value& value);

Json::Value write_keys_report(const keys_report& value);
result<keys_report> read_keys_report(const Json::Value& value);
Json::Value write_keys_reply(const keys_reply& value);
result<keys_reply> read_keys_reply(const Json::Value& value);

// The holder of the assigner's role, as its key in the store says.
struct assigner_holder
{
    instance_id id;
    endpoint peer;

    bool operator==(const assigner_holder&) const = default;
};

std::string assigner_holder_text(const assigner_holder& value);
result<assigner_holder> parse_assigner_holder(std::string_view text);

} // namespace camphorrock
