#pragma once

// The open connections of a client to one endpoint, whichever pool they are in.

#include <cstddef>
#include <limits>
#include <set>

namespace camphorrock
{

// How many connections a client may have to one endpoint.
struct connection_limit
{
    std::size_t pooled = 0; // further exchanges wait for one
    // Those of pools that were dropped count too, until the exchanges there have ended;
    // past it an exchange that needs a connection ends as not_connected.
    std::size_t open = std::numeric_limits<std::size_t>::max();

    bool operator==(const connection_limit&) const = default;
};

struct connection_count
{
    std::size_t open() const
    {
        return connecting.size() + sockets.size();
    }

    connection_limit limit;
    // A connection is in the first set until a request goes out on it. libcurl may close
    // it before without telling, so the numbers there may stand for something else.
    std::set<int> connecting;
    std::set<int> sockets;
    std::size_t running = 0; // exchanges in the pool that endpoints share
};

} // namespace camphorrock
