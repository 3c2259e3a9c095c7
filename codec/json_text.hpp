#pragma once

// Parses and formats JSON text. The parser is strict: it accepts no comments, no repeated
// members and no text after the document, and bounds the nesting depth to 32. Neither
// function throws.

#include "core/base/result.hpp"

#include <json/value.h>

#include <string>
#include <string_view>

namespace camphorrock
{

// Fails with invalid_argument if the text is not one JSON object or array.
result<Json::Value> parse_json(std::string_view text);

// Writes no line breaks and no spaces between tokens.
std::string write_json(const Json::Value& value);

} // namespace camphorrock
