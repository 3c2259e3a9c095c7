#pragma once

// Converts YAML to JSON by YAML's core schema: plain null, true, false and numbers have
// those types; quoted and all other scalars are strings.

#include "core/base/result.hpp"

#include <json/value.h>

#include <string>

namespace camphorrock
{

// Fails with invalid_argument and the line of the error. Keys must be scalars and unique,
// and the nesting depth is limited.
result<Json::Value> parse_yaml(const std::string& text);

} // namespace camphorrock
