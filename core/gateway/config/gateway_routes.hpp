#pragma once

// Finds the route of a request: among the routes of its host, the one with the longest
// prefix that matches the path.
//
//     gateway_routes table(config);
//     if (const gateway_route* it = table.find("shop.example", "/leny950/2f")) ...
//
// Memory: one row per route. A look-up costs O(slashes in the path x log routes of the
// host).

#include "core/gateway/config/gateway_config.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorrock
{

class gateway_routes
{
public:
    gateway_routes() = default;

    // Copies the routes of `config`.
    explicit gateway_routes(const gateway_config& config);

    // `host` is as the client sent it, in any case and with or without a port; `path` is
    // without the query. Returns null if no route matches. The pointer is valid as long
    // as the table.
    const gateway_route* find(std::string_view host, std::string_view path) const;

    std::size_t size() const
    {
        return routes_.size();
    }

private:
    struct prefix_row
    {
        std::string prefix;
        std::size_t route; // index in routes_
    };

    const gateway_route* find_prefix(const std::vector<prefix_row>& rows,
                                     std::string_view prefix) const;

    std::vector<gateway_route> routes_;
    std::unordered_map<std::string, std::vector<prefix_row>> hosts_; // sorted by prefix
};

// Returns the form in which hosts are compared: lower case, without a port.
std::string normalized_host(std::string_view host);

} // namespace camphorrock
