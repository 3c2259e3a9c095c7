#include "router/server_connections.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr std::size_t max_control = 4;
constexpr std::size_t min_pooled = 32; // of requests, where there are so many
constexpr std::size_t pooled_per_slot = 2;

} // namespace

connection_shares shares_of(const service_config& service)
{
    std::size_t all = service.connections_per_server;
    std::size_t slots = service.slots_per_server;
    std::size_t beside_slots = all > slots ? all - slots : 0;
    std::size_t control = std::clamp<std::size_t>(beside_slots, 1, max_control);
    std::size_t requests = all - control;
    std::size_t wanted = std::max(min_pooled, pooled_per_slot * slots);
    return {{std::min(requests, wanted), requests}, {control, control}};
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
    connection_shares shares = shares_of(service);
    for (const endpoint& it : servers)
    {
        requests_.limit_connections(it, shares.requests);
        control_.limit_connections(it, shares.control);
    }
    servers_ = servers;
}

} // namespace camphorrock
