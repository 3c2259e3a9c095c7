#include "codec/shard_record_json.hpp"

#include "codec/json_text.hpp"
#include "codec/json_writer.hpp"
#include "codec/shard_record_fields.hpp"

namespace camphorrock
{

Json::Value write_shard_record(const shard_record& record)
{
    return write_described(record);
}

result<shard_record> read_shard_record(const Json::Value& value)
{
    BOOST_LEAF_AUTO(record, read_described<shard_record>(value));
    BOOST_LEAF_CHECK(validate(record));
    return record;
}

std::string shard_record_text(const shard_record& record)
{
    return write_json(write_shard_record(record));
}

result<shard_record> parse_shard_record(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parse_json(text));
    return read_shard_record(value);
}

} // namespace camphorrock
