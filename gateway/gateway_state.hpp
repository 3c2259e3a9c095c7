#pragma once

// The state that the components of a gateway share: the configuration in force, the
// servers, the assignment of keys to servers, the fleet of gateways, and the pools that
// choose servers. Listeners are called after a change.

#include "core/gateway/admission/priority_admission.hpp"
#include "core/gateway/config/gateway_config.hpp"
#include "core/gateway/config/gateway_routes.hpp"
#include "core/gateway/fleet/gateway_groups.hpp"
#include "core/gateway/limits/server_limits.hpp"
#include "core/gateway/limits/warm_up_rate.hpp"
#include "core/gateway/owners/key_assignment.hpp"
#include "core/gateway/owners/owner_service_times.hpp"
#include "core/gateway/retry/sliding_retry_budget.hpp"
#include "core/gateway/servers/evacuations.hpp"
#include "core/gateway/servers/remote_loads.hpp"
#include "core/gateway/servers/server_directory.hpp"
#include "core/gateway/servers/server_pool.hpp"
#include "gateway/gateway_settings.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace camphorrock
{

// A service of the configuration, with this gateway's server pool, retry budget and
// admission.
struct service_state
{
    gateway_service config;
    server_pool pool;
    sliding_retry_budget budget;
    priority_admission admission;
};

class gateway_state
{
public:
    // `settings` must outlive the state; `seed` seeds its random generator.
    gateway_state(const gateway_settings& settings, std::uint64_t seed);
    gateway_state(const gateway_state&) = delete;
    gateway_state& operator=(const gateway_state&) = delete;

    // Puts `config` in force. Returns false, without effect, unless its version is higher
    // than the current one.
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

    // The caller must call this after it has changed servers(); updates the pools and
    // calls the listeners.
    void servers_changed(time_point now);

    // The operator has drained the data centre. `is_dated` is false if the news may be
    // older than a change normally takes to arrive. Updates the servers and the pools and
    // calls the listeners. Returns false, without effect, if it was drained already.
    bool begin_evacuation(const data_centre& zone,
                          std::uint64_t revision,
                          bool is_dated,
                          time_point now);

    // The data centre may be used again. Returns false, without effect, if it was not
    // drained.
    bool end_evacuation(const data_centre& zone, time_point now);

    // The drained data centres.
    const std::map<data_centre, evacuation>& drained() const
    {
        return evacuations_.all();
    }

    // When the data centre's last drain ended. Empty if it is drained, or was not for a
    // long time.
    std::optional<time_point> evacuation_ended_at(const data_centre& zone) const
    {
        return evacuations_.ended_at(zone);
    }

    // True if a request may not be sent to the server because its data centre is drained:
    // at once, or from the stop time on if the server owns its key (`is_owner`).
    bool is_closed_by_drain(const server_id& server, bool is_owner, time_point now) const;

    // An answer of the server announced that it leaves. Updates the pools and calls the
    // listeners. Returns false, without effect, if that was known already.
    bool announce_leaving(const server_id& id,
                          const server_incarnation& incarnation,
                          time_point now);

    // The limits that servers have named.
    const server_limits& limits() const
    {
        return limits_;
    }

    // An answer of the server arrived; see server_limits::observe().
    limit_change observe_limit(const server_id& server,
                               const server_incarnation& incarnation,
                               const limit_statement& said,
                               time_point now);

    // Another gateway's observation; see server_limits::adopt().
    void adopt_limit(const server_limit& seen, time_point now);

    // What is known of cold servers. Only servers of services with a limit for them are
    // noted.
    const warm_up_rates& warm_ups() const
    {
        return warm_ups_;
    }

    // An answer of the server arrived; see warm_up_rates::observe().
    warm_up_change observe_warm_up(const server_id& server,
                                   const server_incarnation& incarnation,
                                   const warm_up_statement& said,
                                   time_point now);

    // Another gateway's observation; see warm_up_rates::adopt(). Calls the listeners if
    // the server was not known to be cold.
    void adopt_warm_up(const cold_server& seen, time_point now);

    // The drain of the data centre ended at `ended_at`: its servers may have cooled down.
    void note_evacuation_end(const data_centre& zone, time_point ended_at);

    // True if a server's entry has changed what is known of its warm-up since the last
    // call of take_warm_up_transitions().
    bool has_warm_up_news() const
    {
        return has_warm_up_news_;
    }

    // The cold times that have begun or ended since the last call. Requests need not wait
    // any longer for what was due under the earlier rate. Calls the listeners if a server
    // has turned cold.
    std::vector<warm_up_transition> take_warm_up_transitions(time_point now);

    // The requests a second that the server takes now because it is or was cold; empty if
    // that does not limit them.
    std::optional<double> warm_up_rate_of(const server_id& server,
                                          const server_incarnation& incarnation,
                                          time_point now) const;

    // The requests a second that the server takes now: the lower of the limit that it
    // names and its rate while it is cold. Empty if it has neither.
    std::optional<double> rate_of(const server_id& server,
                                  const server_incarnation& incarnation,
                                  time_point now) const;

    // The requests that the server can complete in a second: by its answers, and at most
    // its rate while it is or was cold. 1 for a service that is not declared.
    double capacity_of(const service_name& service,
                       const listed_server& server,
                       time_point now) const;

    // Drops the limits that have ended and those of servers that are gone. To be called
    // each second.
    void expire_limits(time_point now);

    // Puts `assignment` in force. Returns false, without effect, unless its version is
    // higher than the current one.
    bool set_assignment(const key_assignment& assignment, time_point now);

    // True if the key belongs to no key range, or has been moving between servers for
    // longer than a move normally takes.
    bool is_move_stuck(const service_name& service, shard_key key, time_point now) const;

    const key_assignment& assignment() const
    {
        return assignment_;
    }

    // Null for a service that the configuration does not declare. The pointer is valid
    // until the next change of the configuration.
    service_state* find_service(const service_name& name);

    // Takes one retry from the budget of every service, or none if some budget allows no
    // more: for a retry at an address that may belong to any service by now.
    bool try_spend_retry_at_all(time_point now);

    // The links to the servers are back: servers that could not be reached may be chosen
    // again at once.
    void forget_unreachable_servers();

    std::vector<service_name> keyed_services() const;

    // Chooses the service for one request, so that each service of the route gets
    // requests in proportion to its weight. O(services of the route).
    const service_name& choose_service(const gateway_route& route);

    // The entry of this gateway in the fleet's list.
    fleet_gateway self() const
    {
        return {settings_.peer, settings_.zone, settings_.processor_percent};
    }

    // True if some gateway of the fleet may use at least twice this one's processor time.
    bool has_stronger_gateway() const;

    // Sets the gateways of the fleet, this one included, and derives the groups from
    // them.
    void set_gateways(std::vector<fleet_gateway> all);

    // Sorted; empty until the fleet is known.
    const std::vector<fleet_gateway>& gateways() const
    {
        return gateways_;
    }

    // This gateway's group, whose members report their requests in flight to each other.
    const gateway_groups& groups() const
    {
        return groups_;
    }

    // The number of this gateway's requests in flight, for each server that has any.
    std::vector<server_requests> requests_in_flight(time_point now) const;

    // The service times of owners of keys that this gateway has measured since the last
    // call.
    std::vector<server_service_time> take_owner_service_times();

    // What the gateways have reported to this one as the assigner.
    owner_service_times& owner_times()
    {
        return owner_times_;
    }

    // The peer address of the assigner; empty while none is known.
    const std::optional<endpoint>& assigner() const
    {
        return assigner_;
    }

    void set_assigner(const std::optional<endpoint>& assigner)
    {
        assigner_ = assigner;
    }

    // Gives the pools the other gateways' requests in flight.
    void set_remote_loads(const remote_loads& loads);

    // Up to `max_rows` reports of servers' load that this gateway has received and not
    // returned yet.
    std::vector<aged_server_report> take_server_reports(std::size_t max_rows,
                                                        time_point now);

    // Gives the pools the reports that another gateway has received.
    void adopt_server_reports(const std::vector<aged_server_report>& reports,
                              time_point now);

    // Adds a listener, which is called after each change of the configuration, the
    // servers or the assignment, and after a server has turned cold, for as long as the
    // state exists.
    void on_change(std::function<void()> listener)
    {
        listeners_.push_back(std::move(listener));
    }

    // Adds a listener, which is called after each change of gateways(), for as long as
    // the state exists.
    void on_fleet_change(std::function<void()> listener)
    {
        fleet_listeners_.push_back(std::move(listener));
    }

    std::minstd_rand& random()
    {
        return random_;
    }

    // A random number that no other gateway draws, for all practical purposes.
    std::uint64_t draw_id()
    {
        const std::uint64_t high = random_();
        return (high << 32) ^ random_();
    }

    const gateway_settings& settings() const
    {
        return settings_;
    }

private:
    void notify(const std::vector<std::function<void()>>& listeners);
    void update_retry_slack();
    double warm_capacity_of(const service_state& service,
                            const listed_server& server,
                            time_point now) const;
    void update_pool(service_state& it, time_point now);
    // Empty, with no limit, for a service that the configuration does not declare.
    warm_up_policy warm_up_policy_of(const service_name& service) const;
    // Notes what the entries that were received since the last call say of their servers'
    // warm-up. O(servers).
    void note_warm_ups(time_point now);
    // Requests need not wait for what was due under the server's earlier limit.
    void forget_limit_reached(const server_id& server);
    void update_group_servers(service_state& it,
                              const std::vector<const known_server*>& servers);
    void evacuations_changed(time_point now);
    duration notice_delay() const;
    // How long this gateway still sends a key's requests to an owner that it has learned
    // to be leaving.
    duration leaving_owner_limit() const;
    void track_moves(time_point now);

    // Identifies a key range that is moving, by its first key and the epoch of its grant.
    struct moving_range
    {
        service_name service;
        unsigned first = 0;
        epoch at;

        auto operator<=>(const moving_range&) const = default;
    };

    const gateway_settings& settings_;
    gateway_config config_;
    gateway_routes routes_;
    server_directory servers_{server_directory_options{.gone_retention = seconds(20)}};
    evacuations evacuations_;
    server_limits limits_;
    warm_up_rates warm_ups_;
    bool has_warm_up_news_ = false;
    time_point warm_ups_noted_at_{}; // entries before that are noted
    key_assignment assignment_;
    owner_service_times owner_times_;
    std::optional<endpoint> assigner_;
    std::map<moving_range, time_point> move_starts_; // when each move was first seen
    std::map<service_name, service_state> services_;
    std::map<std::string, std::vector<unsigned>> route_picks_; // by route name, then part
    std::vector<std::function<void()>> listeners_;
    std::vector<std::function<void()>> fleet_listeners_;
    std::minstd_rand random_;
    std::vector<fleet_gateway> gateways_; // empty until the fleet is known
    gateway_groups groups_;
    // Gateways that are cut off from the assigner keep their part of the retry slack, so
    // a fleet that shrinks must not raise the part of the others.
    std::size_t largest_fleet_ = 0;
};

} // namespace camphorrock
