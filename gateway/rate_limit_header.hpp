#pragma once

// Reads the header by which a server limits the requests that it takes from all gateways
// together.

#include "core/gateway/limits/server_limits.hpp"
#include "net/http_message.hpp"

#include <string_view>

namespace camphorrock
{

// No limit is taken for more, whatever a server names.
constexpr double max_rate_limit = 1e6; // requests a second

// Reads the header `name`, a decimal number of requests a second. The rate is empty for a
// text of another form, such as a negative number, and for several headers that differ.
limit_statement read_rate_limit(const http_headers& headers, std::string_view name);

} // namespace camphorrock
