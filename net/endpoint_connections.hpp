#pragma once

// The open connections of a client to one endpoint, counted over all of its pools.

#include <cstddef>
#include <limits>
#include <set>

namespace camphorrock
{

// How many connections a client may have to one endpoint.
struct connection_limit
{
    std::size_t pooled = 0; // in the current pool; further exchanges wait for one
    // In all pools, including dropped ones until their exchanges have ended. At the
    // limit, an exchange that needs a new connection ends as not_connected.
    std::size_t open = std::numeric_limits<std::size_t>::max();

    bool operator==(const connection_limit&) const = default;
};

// Must outlive the connections, whose libcurl callbacks refer to it.
struct endpoint_connections
{
    std::size_t open() const
    {
        return connecting.size() + connected.size();
    }

    connection_limit limit;
    // Descriptors of connections on which no request has been sent yet. libcurl may close
    // one without reporting it, so a descriptor here may since belong to another file.
    std::set<int> connecting;
    std::set<int> connected; // descriptors of connections that have carried a request
    std::size_t running_shared = 0; // exchanges to the endpoint in the shared pool
};

} // namespace camphorrock
