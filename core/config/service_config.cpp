#include "core/config/service_config.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

bool is_prefix(std::string_view prefix, std::string_view path)
{
    if (prefix == "/")
    {
        return true;
    }
    if (!path.starts_with(prefix))
    {
        return false;
    }
    bool is_segment_end = prefix.ends_with('/') || path.size() == prefix.size();
    return is_segment_end || path[prefix.size()] == '/';
}

} // namespace

const route_pattern* find_match(const std::vector<route_pattern>& routes,
                                std::string_view method,
                                std::string_view path)
{
    auto found = std::find_if(routes.begin(),
                              routes.end(),
                              [&](const route_pattern& it)
                              {
                                  bool is_method =
                                      it.method == "*" || it.method == method;
                                  return is_method && is_prefix(it.prefix, path);
                              });
    return found == routes.end() ? nullptr : &*found;
}

bool matches(const std::vector<route_pattern>& routes,
             std::string_view method,
             std::string_view path)
{
    return find_match(routes, method, path) != nullptr;
}

} // namespace camphorrock
