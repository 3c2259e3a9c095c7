#pragma once

// The JSON form of the instance list's entries; see docs/PLATFORM.md.

#include "store/instance_list.hpp"

#include <json/value.h>

#include <optional>
#include <vector>

namespace camphorrock
{

Json::Value to_json(const instance_entry& entry);

// Returns nullopt if a member is missing, empty or of the wrong type, or if its value is
// not a known role or state.
std::optional<instance_entry> read_instance(const Json::Value& value);

// Returns nullopt if any entry is malformed.
std::optional<std::vector<instance_entry>> read_instances(const Json::Value& value);

} // namespace camphorrock
