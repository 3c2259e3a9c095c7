#include "core/config/configuration.hpp"

#include <algorithm>
#include <charconv>
#include <string>

namespace camphorrock
{
namespace
{

constexpr unsigned max_port = 65535;
constexpr unsigned min_connections = 2; // one for requests and one for grants

result<void> invalid(const std::string& path, const std::string& what)
{
    return fail(error_code::invalid_argument, path + ": " + what);
}

template<class T>
result<void> check_range(const std::string& path, T value, T least, T most)
{
    if (value < least || most < value)
    {
        return invalid(path,
                       "must be from " + std::to_string(least) + " to " +
                           std::to_string(most));
    }
    return {};
}

result<void>
check_range(const std::string& path, duration value, duration least, duration most)
{
    auto in_ms = [](duration it)
    {
        return std::chrono::duration_cast<milliseconds>(it).count();
    };
    return check_range(path, in_ms(value), in_ms(least), in_ms(most));
}

bool is_token(const std::string& text)
{
    auto is_allowed = [](unsigned char c)
    {
        return c > ' ' && c < 0x7f && c != '/';
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), is_allowed);
}

bool is_endpoint(const std::string& text)
{
    std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
    {
        return false;
    }
    unsigned port = 0;
    const char* end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data() + colon + 1, end, port);
    bool is_port = ec == std::errc() && rest == end && port >= 1 && port <= max_port;
    return is_port && is_token(text);
}

result<void> check_routes(const std::string& path,
                          const std::vector<route_pattern>& routes)
{
    for (std::size_t n = 0; n < routes.size(); ++n)
    {
        std::string at = path + "[" + std::to_string(n) + "]";
        if (!is_token(routes[n].method))
        {
            return invalid(at + ".method", "must be a method or \"*\"");
        }
        if (!routes[n].prefix.starts_with('/'))
        {
            return invalid(at + ".prefix", "must begin with \"/\"");
        }
        if (std::count(routes.begin(), routes.end(), routes[n]) > 1)
        {
            return invalid(at, "stands twice");
        }
    }
    return {};
}

result<void> check_server(const std::string& path, const server_config& server)
{
    if (!is_token(server.id.str()))
    {
        return invalid(path, "the name must be printable, without spaces or \"/\"");
    }
    if (!is_endpoint(server.address.str()))
    {
        return invalid(path + ".endpoint", "must be \"IP:port\"");
    }
    return {};
}

result<void> check_servers(const std::string& path, const service_config& service)
{
    std::vector<endpoint> addresses;
    for (std::size_t n = 0; n < service.servers.size(); ++n)
    {
        const server_config& it = service.servers[n];
        std::string at = path + ".servers." + it.id.str();
        if (n > 0 && !(service.servers[n - 1].id < it.id))
        {
            return invalid(at, "servers are not sorted or a name stands twice");
        }
        BOOST_LEAF_CHECK(check_server(at, it));
        addresses.push_back(it.address);
    }
    std::sort(addresses.begin(), addresses.end());
    auto duplicate = std::adjacent_find(addresses.begin(), addresses.end());
    if (duplicate != addresses.end())
    {
        return invalid(path + ".servers",
                       "endpoint " + duplicate->str() + " stands twice");
    }
    return {};
}

result<void> check_limits(const std::string& path, const service_config& it)
{
    BOOST_LEAF_CHECK(check_range(
        path + ".slots_per_server", it.slots_per_server, 1U, max_slots_per_server));
    BOOST_LEAF_CHECK(check_range(path + ".connections_per_server",
                                 it.connections_per_server,
                                 std::max(it.slots_per_server, min_connections),
                                 max_connections_per_server));
    BOOST_LEAF_CHECK(
        check_range(path + ".partitions", it.partitions, 1U, max_partitions));
    BOOST_LEAF_CHECK(check_range(path + ".retry_percent", it.retry_percent, 0U, 100U));
    return check_range(
        path + ".max_request_ms", it.max_request, milliseconds(1), max_request_limit);
}

result<void> check_service(const std::string& path, const service_config& service)
{
    if (!is_token(service.name.str()))
    {
        return invalid(path, "the name must be printable, without spaces or \"/\"");
    }
    BOOST_LEAF_CHECK(check_limits(path, service));
    BOOST_LEAF_CHECK(
        check_routes(path + ".repeatable_routes", service.repeatable_routes));
    BOOST_LEAF_CHECK(check_routes(path + ".long_routes", service.long_routes));
    return check_servers(path, service);
}

result<void> check_patches(const configuration& config)
{
    if (config.patches.size() > max_applied_patches)
    {
        return invalid("patches", "more than " + std::to_string(max_applied_patches));
    }
    config_version last;
    for (const applied_patch& it : config.patches)
    {
        if (it.id.empty() || it.version <= last || config.version < it.version)
        {
            return invalid("patches",
                           "not sorted by version, or newer than the document");
        }
        last = it.version;
    }
    return {};
}

} // namespace

const service_config* find_service(const configuration& config, const service_name& name)
{
    auto it =
        std::lower_bound(config.services.begin(),
                         config.services.end(),
                         name,
                         [](const service_config& service, const service_name& wanted)
                         { return service.name < wanted; });
    bool is_found = it != config.services.end() && it->name == name;
    return is_found ? &*it : nullptr;
}

const server_config* find_server(const service_config& service, const server_id& id)
{
    auto it = std::lower_bound(service.servers.begin(),
                               service.servers.end(),
                               id,
                               [](const server_config& server, const server_id& wanted)
                               { return server.id < wanted; });
    bool is_found = it != service.servers.end() && it->id == id;
    return is_found ? &*it : nullptr;
}

result<void> validate(const configuration& config)
{
    BOOST_LEAF_CHECK(check_patches(config));
    BOOST_LEAF_CHECK(check_range("fleet.journal_retention_ms",
                                 config.fleet.journal_retention,
                                 min_journal_retention,
                                 max_journal_retention));
    BOOST_LEAF_CHECK(check_range("fleet.store_writes_per_second",
                                 config.fleet.store_writes_per_second,
                                 1U,
                                 max_store_writes_per_second));
    for (std::size_t n = 0; n < config.services.size(); ++n)
    {
        std::string path = "services." + config.services[n].name.str();
        if (n > 0 && !(config.services[n - 1].name < config.services[n].name))
        {
            return invalid(path, "services are not sorted or a name stands twice");
        }
        BOOST_LEAF_CHECK(check_service(path, config.services[n]));
    }
    return {};
}

} // namespace camphorrock
