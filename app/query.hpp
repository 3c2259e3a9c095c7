#pragma once

// Values in the query of a request target, as the stand-ins' control paths use them.

#include <cstdint>
#include <optional>
#include <string_view>

namespace camphorrock
{

// The value of the first `name=value` pair, still percent-encoded; none where absent.
std::optional<std::string_view> query_value(std::string_view target,
                                            std::string_view name);

// The same as a number that is not negative; none also where it is no such number.
std::optional<double> query_number(std::string_view target, std::string_view name);

} // namespace camphorrock
