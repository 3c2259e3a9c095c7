#pragma once

// The JSON form of the configuration. Services and servers are objects keyed by name, so
// that a merge patch can name one of them:
//
//     {"version": 7, "services": {"valves": {"slots_per_server": 3, "servers": {"s1":
//         {"endpoint": "10.0.0.1:80", "data_centre": "dc1"}}}}}

#include "core/base/result.hpp"
#include "core/config/configuration.hpp"

#include <json/value.h>

#include <string>
#include <string_view>

namespace camphorrock
{

Json::Value write_configuration(const configuration& config);

// Absent fields take their defaults. Fails with invalid_argument and the path of the
// field if a field is unknown, has the wrong type, or contradicts another.
result<configuration> read_configuration(const Json::Value& value);

// Write and read the same form as text.
std::string configuration_text(const configuration& config);
result<configuration> parse_configuration(std::string_view text);

} // namespace camphorrock
