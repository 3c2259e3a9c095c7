#pragma once

// Limits this router's connections to each server that it schedules to
// `connections_per_server`, for requests and grants together.
//
// A few connections are reserved for grants, so that requests cannot block them. The rest
// is for requests. Of these only twice the number of slots is pooled, but at least 32 if
// the limit allows it, since unrepeatable requests leave connections behind that are
// seldom reused.

#include "core/config/service_config.hpp"
#include "net/http_client.hpp"

#include <set>

namespace camphorrock
{

struct server_connection_limits
{
    connection_limit requests; // of the client for requests
    connection_limit control;  // of the client for grants
};

// Each limit is at least 1. Together they are at most connections_per_server, which must
// be at least 2.
server_connection_limits divide_connections(const service_config& service);

class server_connections
{
public:
    // The clients must outlive this object.
    server_connections(http_client& requests, http_client& control)
        : requests_(requests), control_(control)
    {
    }

    // Sets the servers that this router schedules. Connections to other servers are
    // closed.
    void update(const service_config& service, const std::set<endpoint>& servers);

private:
    http_client& requests_;
    http_client& control_;
    std::set<endpoint> servers_;
};

} // namespace camphorrock
