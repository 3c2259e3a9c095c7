#include "codec/messages_json.hpp"

#include "codec/json_writer.hpp"
#include "codec/shard_record_fields.hpp"

namespace camphorrock
{

template<class Fields, class Message>
requires is_type<Message, lease_vote_params> || is_type<Message, fence_params> ||
    is_type<Message, shard_version>
void describe(Fields& fields, Message& it)
{
    fields.required("shard", it.shard);
    fields.required("version", it.version);
}

template<class Fields, is_type<lease_vote_answer> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("ok", it.ok);
    fields.required("highest", it.highest);
    fields.required("config_version", it.config);
}

template<class Fields, is_type<fence_answer> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("ok", it.ok);
    fields.required("highest", it.highest);
    fields.optional("fenced_for_ms", it.fenced_for);
}

template<class Fields, is_type<update_params> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("record", it.record);
    fields.required("config_version", it.config);
    fields.required("assigner_peer", it.assigner_peer);
}

template<class Fields, is_type<update_answer> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("version", it.version);
}

template<class Fields, is_type<server_status> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("id", it.id);
    fields.required("condition", it.condition);
    fields.optional("in_flight", it.in_flight);
    fields.optional("queued", it.queued);
    fields.optional("answered", it.answered);
    fields.optional("shed", it.shed);
    fields.optional("slot_time_ms", it.slot_time);
}

template<class Fields, is_type<released_partition> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("range", it.range);
    fields.required("since", it.since);
}

template<class Fields, is_type<key_traffic> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("at", it.at);
    fields.required("slot_time_ms", it.slot_time);
}

template<class Fields, is_type<partition_traffic> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("range", it.range);
    fields.required("slot_time_ms", it.slot_time);
    fields.optional("hot_keys", it.hot_keys);
}

template<class Fields, is_type<shard_status> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("shard", it.shard);
    fields.required("version", it.version);
    fields.optional("servers", it.servers);
    fields.optional("released_partitions", it.released_partitions);
    fields.optional("load", it.load);
}

template<class Fields, is_type<report_params> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("router", it.router);
    fields.required("peer", it.peer);
    fields.required("data_centre", it.zone);
    fields.optional("leaving", it.leaving);
    fields.required("config_version", it.config);
    fields.required("period_ms", it.period);
    fields.required("shards", it.shards);
}

template<class Fields, is_type<report_answer> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("shards", it.shards);
    fields.required("config_version", it.config);
}

template<class Fields, is_type<clock_answer> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("clock_ms", it.clock_ms);
}

template<class Fields, is_type<ownership_params> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("shard", it.shard);
    fields.required("partition", it.partition);
    fields.required("epoch", it.since);
    fields.optional("ttl_ms", it.ttl);
    fields.optional("as_of_ms", it.as_of_ms);
}

template<class Fields, is_type<ownership_answer> Message>
void describe(Fields& fields, Message& it)
{
    fields.required("clock_ms", it.clock_ms);
    fields.required("epoch", it.since);
}

namespace
{

// Checks what the types of the fields do not express.
template<class Message>
result<void> check(const Message&)
{
    return {};
}

result<void> check(const update_params& message)
{
    return validate(message.record);
}

} // namespace

template<class Message>
Json::Value write_message(const Message& message)
{
    return write_described(message);
}

template<class Message>
result<Message> read_message(const Json::Value& value)
{
    BOOST_LEAF_AUTO(message, read_described<Message>(value));
    BOOST_LEAF_CHECK(check(message));
    return message;
}

// Instantiates both functions for a message type.
#define CAMPHORROCK_MESSAGE(Message)                                                     \
    template Json::Value write_message<Message>(const Message&);                         \
    template result<Message> read_message<Message>(const Json::Value&)

CAMPHORROCK_MESSAGE(lease_vote_params);
CAMPHORROCK_MESSAGE(lease_vote_answer);
CAMPHORROCK_MESSAGE(fence_params);
CAMPHORROCK_MESSAGE(fence_answer);
CAMPHORROCK_MESSAGE(update_params);
CAMPHORROCK_MESSAGE(update_answer);
CAMPHORROCK_MESSAGE(report_params);
CAMPHORROCK_MESSAGE(report_answer);
CAMPHORROCK_MESSAGE(clock_answer);
CAMPHORROCK_MESSAGE(ownership_params);
CAMPHORROCK_MESSAGE(ownership_answer);

} // namespace camphorrock
