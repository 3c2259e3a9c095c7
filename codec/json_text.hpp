#pragma once

// JSON text, strictly read: no comments, no repeated members, nothing after the document,
// bounded depth. Neither function throws.

#include "core/base/result.hpp"

#include <json/value.h>

#include <string>
#include <string_view>

namespace camphorrock
{

// Fails with invalid_argument where the text is not one JSON object or array.
result<Json::Value> parse_json(std::string_view text);

// Without line breaks or spaces.
std::string write_json(const Json::Value& value);

} // namespace camphorrock
