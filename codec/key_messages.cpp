#include "codec/key_messages.hpp"

#include "codec/json_reader.hpp"
#include "codec/json_text.hpp"
#include "codec/json_writer.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// Checks that the key ranges of a service are sorted, do not overlap and do not exceed
// last_shard_key.
result<void> check(const service_name& service,
                   const std::vector<assigned_key_range>& key_ranges)
{
    unsigned next = 0;
    for (const assigned_key_range& it : key_ranges)
    {
        const bool is_valid = it.keys.first >= next && it.keys.last >= it.keys.first &&
                              it.keys.last <= last_shard_key;
        if (!is_valid)
        {
            return fail(error_code::invalid_argument,
                        "the shares of " + service.str() + " overlap");
        }
        next = it.keys.last + 1;
    }
    return {};
}

result<void> check(const key_assignment& value)
{
    for (const service_key_ranges& it : value.services)
    {
        BOOST_LEAF_CHECK(check(it.service, it.key_ranges));
    }
    return {};
}

result<void> check(const keys_update& value)
{
    for (const assignment_delta& step : value.steps)
    {
        for (const key_range_changes& it : step.services)
        {
            BOOST_LEAF_CHECK(check(it.service, it.changed));
        }
    }
    for (const key_assignment& it : value.full_assignment)
    {
        BOOST_LEAF_CHECK(check(it));
    }
    return {};
}

result<void> check(const assigner_term_end& value)
{
    if (std::min(value.grants_left, value.unanswered_grants_left) < duration::zero())
    {
        return fail(error_code::invalid_argument, "a time that is left is negative");
    }
    return {};
}

} // namespace

template<class Fields, is_type<assigned_key_range> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("first", it.keys.first);
    fields.required("last", it.keys.last);
    fields.required("owner", it.owner);
    fields.required("life", it.incarnation.started_ms);
    fields.required("epoch", it.grant_epoch);
    fields.optional("moving", it.is_moving);
}

template<class Fields, is_type<service_key_ranges> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("service", it.service);
    fields.required("shares", it.key_ranges);
}

template<class Fields, is_type<key_assignment> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("term", it.version.term);
    fields.required("change", it.version.change);
    fields.required("writer", it.writer);
    fields.required("epoch_limit", it.epoch_limit);
    fields.required("services", it.services);
}

template<class Fields, is_type<key_range_changes> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("service", it.service);
    fields.optional("changed", it.changed);
    fields.optional("gone", it.removed_first_keys);
}

template<class Fields, is_type<assignment_delta> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("base_term", it.base.term);
    fields.required("base_change", it.base.change);
    fields.required("term", it.version.term);
    fields.required("change", it.version.change);
    fields.required("writer", it.writer);
    fields.required("epoch_limit", it.epoch_limit);
    fields.required("services", it.services);
}

template<class Fields, is_type<keys_update> Message>
void describe(Fields& fields, Message& it)
{
    fields.optional("steps", it.steps);
    fields.optional("whole", it.full_assignment);
}

template<class Fields, is_type<key_requests> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("service", it.service);
    fields.optional("keys", it.keys);
    fields.optional("refused", it.refused);
}

template<class Fields, is_type<fleet_gateway> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("peer", it.peer);
    fields.required("zone", it.zone);
    fields.required("processor_percent", it.processor_percent);
}

template<class Fields, is_type<keys_report> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("from", it.sender_id);
    fields.required("sender", it.sender);
    fields.required("fleet", it.known_fleet_hash);
    fields.required("term", it.version.term);
    fields.required("change", it.version.change);
    fields.required("services", it.services);
}

template<class Fields, is_type<keys_reply> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("is_assigner", it.is_assigner);
    fields.optional("gateways", it.gateways);
    fields.optional("update", it.update);
}

template<class Fields, is_type<assigner_term_end> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("writer", it.writer);
    fields.required("term", it.term);
    fields.required("grants_ms", it.grants_left);
    fields.required("unanswered_ms", it.unanswered_grants_left);
}

template<class Fields, is_type<keys_end_term> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("assigner", it.assigner);
}

template<class Fields, is_type<keys_end_reply> Message>
void describe(Fields& fields, Message& it)
{
    fields.optional("said", it.said);
}

template<class Fields, is_type<assigner_restart> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("writer", it.writer);
    fields.required("term", it.term);
    fields.required("started_ms", it.started_ago);
}

template<class Fields, is_type<grant_bound> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("writer", it.writer);
    fields.required("term", it.term);
    fields.required("hold_ms", it.hold_time);
    fields.required("earlier_ms", it.earlier_left);
}

template<class Fields, is_type<keys_ended_reply> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("is_assigner", it.is_assigner);
}

template<class Fields, is_type<assigner_holder> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("id", it.id);
    fields.required("peer", it.peer);
}

Json::Value write_key_assignment(const key_assignment& value)
{
    return write_described(value);
}

result<key_assignment> read_key_assignment(const Json::Value& value)
{
    BOOST_LEAF_AUTO(read, read_described<key_assignment>(value));
    BOOST_LEAF_CHECK(check(read));
    return read;
}

std::string key_assignment_text(const key_assignment& value)
{
    return write_json(write_key_assignment(value));
}

result<key_assignment> parse_key_assignment(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parse_json(text));
    return read_key_assignment(value);
}

Json::Value write_keys_update(const keys_update& value)
{
    return write_described(value);
}

result<keys_update> read_keys_update(const Json::Value& value)
{
    BOOST_LEAF_AUTO(read, read_described<keys_update>(value));
    BOOST_LEAF_CHECK(check(read));
    return read;
}

Json::Value write_keys_report(const keys_report& value)
{
    return write_described(value);
}

result<keys_report> read_keys_report(const Json::Value& value)
{
    return read_described<keys_report>(value);
}

Json::Value write_keys_reply(const keys_reply& value)
{
    return write_described(value);
}

result<keys_reply> read_keys_reply(const Json::Value& value)
{
    BOOST_LEAF_AUTO(read, read_described<keys_reply>(value));
    BOOST_LEAF_CHECK(check(read.update));
    return read;
}

Json::Value write_term_end(const assigner_term_end& value)
{
    return write_described(value);
}

result<assigner_term_end> read_term_end(const Json::Value& value)
{
    BOOST_LEAF_AUTO(read, read_described<assigner_term_end>(value));
    BOOST_LEAF_CHECK(check(read));
    return read;
}

Json::Value write_keys_end_term(const keys_end_term& value)
{
    return write_described(value);
}

result<keys_end_term> read_keys_end_term(const Json::Value& value)
{
    return read_described<keys_end_term>(value);
}

Json::Value write_keys_end_reply(const keys_end_reply& value)
{
    return write_described(value);
}

result<keys_end_reply> read_keys_end_reply(const Json::Value& value)
{
    BOOST_LEAF_AUTO(read, read_described<keys_end_reply>(value));
    for (const assigner_term_end& it : read.said)
    {
        BOOST_LEAF_CHECK(check(it));
    }
    return read;
}

Json::Value write_assigner_restart(const assigner_restart& value)
{
    return write_described(value);
}

result<assigner_restart> read_assigner_restart(const Json::Value& value)
{
    BOOST_LEAF_AUTO(read, read_described<assigner_restart>(value));
    if (read.started_ago < duration::zero())
    {
        return fail(error_code::invalid_argument, "the time since the start is negative");
    }
    return read;
}

Json::Value write_keys_ended_reply(const keys_ended_reply& value)
{
    return write_described(value);
}

result<keys_ended_reply> read_keys_ended_reply(const Json::Value& value)
{
    return read_described<keys_ended_reply>(value);
}

std::string grant_bound_text(const grant_bound& value)
{
    return write_json(write_described(value));
}

result<grant_bound> parse_grant_bound(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parse_json(text));
    BOOST_LEAF_AUTO(read, read_described<grant_bound>(value));
    if (read.hold_time <= duration::zero() || read.earlier_left < duration::zero())
    {
        return fail(error_code::invalid_argument, "a time of a bound is not valid");
    }
    return read;
}

std::string assigner_holder_text(const assigner_holder& value)
{
    return write_json(write_described(value));
}

result<assigner_holder> parse_assigner_holder(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parse_json(text));
    return read_described<assigner_holder>(value);
}

} // namespace camphorrock
