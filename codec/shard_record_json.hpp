#pragma once

// The JSON form of the shard record, in the store and in `shard.update`.

#include "core/base/result.hpp"
#include "core/ownership/shard_record.hpp"

#include <json/value.h>

#include <string>
#include <string_view>

namespace camphorrock
{

Json::Value write_shard_record(const shard_record& record);

// Fails with invalid_argument if a field is missing, unknown or of the wrong type, or if
// the record breaks an invariant.
result<shard_record> read_shard_record(const Json::Value& value);

// Write and read the same form as text.
std::string shard_record_text(const shard_record& record);
result<shard_record> parse_shard_record(std::string_view text);

} // namespace camphorrock
