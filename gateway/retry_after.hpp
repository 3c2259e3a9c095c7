#pragma once

// Reads the Retry-After of a server that turned a request away.

#include "core/base/time.hpp"

#include <string_view>

namespace camphorrock
{

// No pause is longer, whatever a server asks for.
constexpr duration max_server_pause = seconds(60);

// Reads a number of seconds, which may have a fraction. Zero for a text of another form,
// such as a date or a negative number; max_server_pause for a longer time.
duration parse_retry_after(std::string_view text);

} // namespace camphorrock
