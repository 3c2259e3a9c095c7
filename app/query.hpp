#pragma once

// Reads parameters from the query of a request target, "/path?name=value&name=value". The
// control paths of the fakes take their parameters this way.

#include <cstdint>
#include <optional>
#include <string_view>

namespace camphorrock
{

// Returns the value of the first `name=value` pair, still percent-encoded, or nullopt if
// the target has no such pair.
std::optional<std::string_view> query_value(std::string_view target,
                                            std::string_view name);

// Returns that value as a number; nullopt also if it is not a finite number of at least
// 0.
std::optional<double> query_number(std::string_view target, std::string_view name);

} // namespace camphorrock
