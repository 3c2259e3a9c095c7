#pragma once

// JSON text and jsoncpp's values.

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

// The value of a strict JSON text (RFC 8259); none for any other text and for one that is
// nested too deeply.
std::optional<Json::Value> parse_json(std::string_view text);

// Compact text on one line.
std::string to_json_text(const Json::Value& value);

} // namespace camphorrock
