#pragma once

// Keeps this router's connections to the servers that it schedules within
// `connections_per_server`, those for requests and those for grants together.
//
// A few are kept back for grants, so that requests cannot shut them out. The rest is for
// requests: at first twice the slots, and 32 where that is less, since unrepeatable
// requests leave connections behind that are seldom used again.

#include "core/config/service_config.hpp"
#include "net/http_client.hpp"

#include <set>

namespace camphorrock
{

struct connection_shares
{
    connection_limit requests;
    connection_limit control;
};

// Both are at least 1, and together at most connections_per_server, which is at least 2.
connection_shares shares_of(const service_config& service);

class server_connections
{
public:
    // The clients must outlive it.
    server_connections(http_client& requests, http_client& control)
        : requests_(requests), control_(control)
    {
    }

    // These servers are scheduled here now. The connections to others are closed.
    void update(const service_config& service, const std::set<endpoint>& servers);

private:
    http_client& requests_;
    http_client& control_;
    std::set<endpoint> servers_;
};

} // namespace camphorrock
