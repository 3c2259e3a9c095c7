#pragma once

// What the parts of a gateway know together: the configuration in force, the servers, who
// owns which keys, and the pools that choose servers. Each part is told of changes.

#include "core/gateway/arrival_budget.hpp"
#include "core/gateway/gateway_config.hpp"
#include "core/gateway/gateway_groups.hpp"
#include "core/gateway/gateway_routes.hpp"
#include "core/gateway/key_assignment.hpp"
#include "core/gateway/remote_loads.hpp"
#include "core/gateway/server_directory.hpp"
#include "core/gateway/server_pool.hpp"
#include "gateway/gateway_settings.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace camphorrock
{

// A service with what this gateway keeps of it.
struct service_state
{
    gateway_service config;
    server_pool pool;
    arrival_budget budget;
};

class gateway_state
{
public:
    gateway_state(const gateway_settings& settings, std::uint64_t seed);
    gateway_state(const gateway_state&) = delete;
    gateway_state& operator=(const gateway_state&) = delete;

    // Takes a configuration in force, unless its version is not above the present one.
    bool set_config(const gateway_config& config, time_point now);

    bool has_config() const
    {
        return config_.version.value > 0;
    }

    const gateway_config& config() const
    {
        return config_;
    }

    const gateway_routes& routes() const
    {
        return routes_;
    }

    server_directory& servers()
    {
        return servers_;
    }

    // To be called after a change of servers().
    void servers_changed(time_point now);

    // Takes an assignment, unless it is older than the present one.
    bool set_assignment(const key_assignment& assignment, time_point now);

    // True where the key has been moving for longer than a sound move takes, or has no
    // share at all.
    bool is_move_stuck(const service_name& service, shard_key key, time_point now) const;

    const key_assignment& assignment() const
    {
        return assignment_;
    }

    // Null for a service that the configuration does not declare.
    service_state* find_service(const service_name& name);

    std::vector<service_name> keyed_services() const;

    // One of the route's services, so that each gets its weight's share of the requests.
    const service_name& choose_part(const gateway_route& route);

    // This gateway, as the others know it.
    fleet_gateway self() const
    {
        return {settings_.peer, settings_.zone, settings_.processor_percent};
    }

    // True where a gateway of the fleet may use at least twice the processor time.
    bool has_stronger_gateway() const;

    // The fleet's gateways, this one included.
    void set_gateways(std::vector<fleet_gateway> all);

    const std::vector<fleet_gateway>& gateways() const
    {
        return gateways_;
    }

    // Those that tell one another of their requests.
    const gateway_groups& groups() const
    {
        return groups_;
    }

    // This gateway's requests at servers that have any.
    std::vector<server_requests> requests_in_flight() const;

    // Tells the pools what the other gateways have in flight.
    void set_remote_loads(const remote_loads& loads);

    // Calls after each change of the configuration, the servers or the assignment.
    void on_change(std::function<void()> what)
    {
        listeners_.push_back(std::move(what));
    }

    std::minstd_rand& random()
    {
        return random_;
    }

    const gateway_settings& settings() const
    {
        return settings_;
    }

private:
    void changed();
    void share_retries();
    void update_pool(service_state& it, time_point now);
    void set_near(service_state& it, const std::vector<const known_server*>& servers);
    duration serves_leaving() const;
    void note_moves(time_point now);

    // A share that moves, by where it begins and what it was granted with.
    struct moving_share
    {
        service_name service;
        unsigned first = 0;
        epoch at;

        auto operator<=>(const moving_share&) const = default;
    };

    const gateway_settings& settings_;
    gateway_config config_;
    gateway_routes routes_;
    server_directory servers_;
    key_assignment assignment_;
    std::map<moving_share, time_point> moves_; // since when
    std::map<service_name, service_state> services_;
    std::map<std::string, std::vector<unsigned>> given_; // by route, then by part
    std::vector<std::function<void()>> listeners_;
    std::minstd_rand random_;
    std::vector<fleet_gateway> gateways_; // empty until they are known
    gateway_groups groups_;
    // Those that are cut off go on with their part, so a smaller fleet gives no larger
    // one.
    std::size_t largest_fleet_ = 0;
};

} // namespace camphorrock
