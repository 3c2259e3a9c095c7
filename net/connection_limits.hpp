#pragma once

// How many connections a client may have to each endpoint: the client's default, or what
// limit_connections() has set for the endpoint.

#include "core/base/names.hpp"
#include "net/endpoint_connections.hpp"

#include <optional>
#include <unordered_map>

namespace camphorrock
{

class connection_limits
{
public:
    explicit connection_limits(connection_limit by_default) : default_(by_default) {}

    // Empty: the default again.
    void set(const endpoint& to, std::optional<connection_limit> limit)
    {
        if (limit)
        {
            own_[to] = *limit;
        }
        else
        {
            own_.erase(to);
        }
    }

    // True if the endpoint has a limit of its own.
    bool has_own(const endpoint& to) const
    {
        return own_.contains(to);
    }

    connection_limit of(const endpoint& to) const
    {
        const auto it = own_.find(to);
        return it != own_.end() ? it->second : default_;
    }

private:
    connection_limit default_;
    std::unordered_map<endpoint, connection_limit> own_;
};

} // namespace camphorrock
