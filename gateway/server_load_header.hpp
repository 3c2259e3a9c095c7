#pragma once

// Reads the header in which a server reports its load.

#include "core/gateway/servers/reported_load.hpp"
#include "net/http_message.hpp"

#include <string_view>

namespace camphorrock
{

// Reads the header `name`: RUNNING,WAITING,SLOTS[,SLOWNESS], whole numbers, the last in
// percent. A slowness that cannot be read leaves the counts. There is no load for a text
// of another form, for counts above `max_reported_requests`, and for several headers that
// differ.
load_statement read_server_load(const http_headers& headers, std::string_view name);

} // namespace camphorrock
