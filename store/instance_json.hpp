#pragma once

// The JSON form of the instance list's entries; see docs/PLATFORM.md.

#include "store/instance_list.hpp"

#include <json/value.h>

#include <optional>
#include <vector>

namespace camphorrock
{

Json::Value to_json(const instance_entry& entry);

// None where a member is missing, of a wrong type or of an unknown name.
std::optional<instance_entry> read_instance(const Json::Value& value);

// None where any entry cannot be read.
std::optional<std::vector<instance_entry>> read_instances(const Json::Value& value);

} // namespace camphorrock
