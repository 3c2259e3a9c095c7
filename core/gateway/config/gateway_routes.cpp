#include "core/gateway/config/gateway_routes.hpp"

#include <algorithm>
#include <cctype>

namespace camphorrock
{

std::string normalized_host(std::string_view host)
{
    std::string made(host.substr(0, host.find(':')));
    std::transform(made.begin(),
                   made.end(),
                   made.begin(),
                   [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return made;
}

gateway_routes::gateway_routes(const gateway_config& config) : routes_(config.routes)
{
    for (std::size_t n = 0; n < routes_.size(); ++n)
    {
        hosts_[normalized_host(routes_[n].host)].push_back({routes_[n].prefix, n});
    }
    for (auto& [host, rows] : hosts_)
    {
        std::sort(rows.begin(),
                  rows.end(),
                  [](const prefix_row& a, const prefix_row& b)
                  { return a.prefix < b.prefix; });
    }
}

const gateway_route* gateway_routes::find(std::string_view host,
                                          std::string_view path) const
{
    auto it = hosts_.find(normalized_host(host));
    if (it == hosts_.end())
    {
        return nullptr;
    }
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos)
    {
        if (const gateway_route* found =
                find_prefix(it->second, path.substr(0, slash + 1)))
        {
            return found;
        }
        if (slash == 0)
        {
            break;
        }
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const gateway_route* gateway_routes::find_prefix(const std::vector<prefix_row>& rows,
                                                 std::string_view prefix) const
{
    auto it = std::lower_bound(rows.begin(),
                               rows.end(),
                               prefix,
                               [](const prefix_row& row, std::string_view wanted)
                               { return row.prefix < wanted; });
    const bool is_found = it != rows.end() && it->prefix == prefix;
    return is_found ? &routes_[it->route] : nullptr;
}

} // namespace camphorrock
