#include "codec/key_messages.hpp"

#include "codec/json_reader.hpp"
#include "codec/json_text.hpp"
#include "codec/json_writer.hpp"

namespace camphorrock
{
namespace
{

result<void> check(const key_assignment& value)
{
    for (const service_shares& service : value.services)
    {
        unsigned next = 0;
        for (const key_share& it : service.shares)
        {
            const bool is_sound = it.keys.first >= next &&
                                  it.keys.last >= it.keys.first &&
                                  it.keys.last <= last_shard_key;
            if (!is_sound)
            {
                return fail(error_code::invalid_argument,
                            "the shares of " + service.service.str() + " overlap");
            }
            next = it.keys.last + 1;
        }
    }
    return {};
}

} // namespace

template<class Fields, is_type<key_share> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("first", it.keys.first);
    fields.required("last", it.keys.last);
    fields.required("owner", it.owner);
    fields.required("life", it.life.started_ms);
    fields.required("epoch", it.at);
    fields.optional("moving", it.is_moving);
}

template<class Fields, is_type<service_shares> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("service", it.service);
    fields.required("shares", it.shares);
}

template<class Fields, is_type<key_assignment> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("term", it.version.term);
    fields.required("change", it.version.change);
    fields.required("writer", it.writer);
    fields.required("epoch_limit", it.limit);
    fields.required("services", it.services);
}

template<class Fields, is_type<key_requests> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("service", it.service);
    fields.optional("keys", it.keys);
    fields.optional("refused", it.refused);
}

template<class Fields, is_type<keys_report> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("from", it.from);
    fields.required("peer", it.peer);
    fields.required("term", it.version.term);
    fields.required("change", it.version.change);
    fields.required("services", it.services);
}

template<class Fields, is_type<keys_reply> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("is_assigner", it.is_assigner);
    fields.optional("gateways", it.gateways);
    fields.optional("assignment", it.assignment);
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
    for (const key_assignment& it : read.assignment)
    {
        BOOST_LEAF_CHECK(check(it));
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
