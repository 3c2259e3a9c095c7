#pragma once

// Reads the header by which a server says how long it is still cold.

#include "core/gateway/limits/warm_up_rate.hpp"
#include "net/http_message.hpp"

#include <string_view>

namespace camphorrock
{

// Reads the header `name`, whole milliseconds. The time is empty for a text of another
// form, such as a negative number, for one above max_warm_up, and for several headers
// that differ.
warm_up_statement read_warm_up(const http_headers& headers, std::string_view name);

} // namespace camphorrock
