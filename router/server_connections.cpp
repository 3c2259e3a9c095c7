#include "router/server_connections.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr std::size_t max_control_connections = 4;
constexpr std::size_t min_pooled_requests = 32; // for requests, if the limit allows it
constexpr std::size_t pooled_per_slot = 2;

} // namespace

server_connection_limits divide_connections(const service_config& service)
{
    std::size_t total = service.connections_per_server;
    std::size_t slots = service.slots_per_server;
    std::size_t spare = total > slots ? total - slots : 0;
    std::size_t control = std::clamp<std::size_t>(spare, 1, max_control_connections);
    std::size_t requests = total - control;
    std::size_t pooled = std::max(min_pooled_requests, pooled_per_slot * slots);
    return {{std::min(requests, pooled), requests}, {control, control}};
}

void server_connections::update(const service_config& service,
                                const std::set<endpoint>& servers)
{
    for (const endpoint& it : servers_)
    {
        if (!servers.contains(it))
        {
            for (http_client* client : {&requests_, &control_})
            {
                client->drop_connections(it);
                client->limit_connections(it, std::nullopt);
            }
        }
    }
    server_connection_limits limits = divide_connections(service);
    for (const endpoint& it : servers)
    {
        requests_.limit_connections(it, limits.requests);
        control_.limit_connections(it, limits.control);
    }
    servers_ = servers;
}

} // namespace camphorrock
