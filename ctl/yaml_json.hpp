#pragma once

// Reads YAML as JSON, by YAML's core schema: plain null, true, false and numbers have
// those types, quoted scalars and all others are strings.

#include "core/base/result.hpp"

#include <json/value.h>

#include <string>

namespace camphorrock
{

// Fails with invalid_argument and the line of the fault. Keys must be scalars and not
// repeat.
result<Json::Value> parse_yaml(const std::string& text);

} // namespace camphorrock
