#include "gateway/gateway_state.hpp"

#include "core/base/key_hash.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

// The fraction of the fleet's retry bound that the gateways use: their windows do not end
// at the same time, so their sum could otherwise exceed the bound.
constexpr double retry_bound_fraction = 0.85;

constexpr unsigned max_route_picks = 100000; // a route's counts then start again at 0
// A server finishes its work on keys before it releases them, which rarely takes longer.
constexpr duration max_move_time = milliseconds(500);

// A change of a server's store entry reaches every gateway within this time. Watches are
// slower in a large fleet.
constexpr duration small_fleet_notice_delay = milliseconds(1100);
constexpr duration large_fleet_notice_delay = milliseconds(1700);

} // namespace

gateway_state::gateway_state(const gateway_settings& settings, std::uint64_t seed)
    : settings_(settings), evacuations_({.bound = settings.evacuation_bound}),
      random_(static_cast<std::minstd_rand::result_type>(seed))
{
}

bool gateway_state::set_config(const gateway_config& config, time_point now)
{
    if (config.version <= config_.version)
    {
        return false;
    }
    config_ = config;
    routes_ = gateway_routes(config_);
    route_picks_.clear();
    std::map<service_name, service_state> updated;
    for (const gateway_service& it : config_.services)
    {
        auto old = services_.find(it.name);
        if (old != services_.end())
        {
            old->second.config = it;
            updated.insert(services_.extract(old));
            continue;
        }
        const sliding_retry_budget_options budget{
            settings_.retry_ratio * retry_bound_fraction, 0, settings_.retry_window};
        server_pool_options options;
        options.preference_seed = hash_key(settings_.peer.str()).value;
        updated.emplace(it.name,
                        service_state{it,
                                      server_pool(settings_.zone, options),
                                      sliding_retry_budget(budget),
                                      priority_admission()});
    }
    services_ = std::move(updated);
    warm_ups_noted_at_ = {};
    update_retry_slack();
    servers_changed(now);
    return true;
}

void gateway_state::servers_changed(time_point now)
{
    for (auto& [name, it] : services_)
    {
        update_pool(it, now);
    }
    note_warm_ups(now);
    notify(listeners_);
}

// While the fleet is not known, it may be a large one.
bool gateway_state::begin_evacuation(const data_centre& zone,
                                     std::uint64_t revision,
                                     bool is_dated,
                                     time_point now)
{
    const duration max_age =
        gateways_.empty() ? large_fleet_notice_delay : notice_delay();
    const evacuation_news news{revision,
                               is_dated ? std::optional(max_age) : std::nullopt};
    if (!evacuations_.begin(zone, news, now))
    {
        return false;
    }
    evacuations_changed(now);
    return true;
}

bool gateway_state::end_evacuation(const data_centre& zone, time_point now)
{
    if (!evacuations_.end(zone, now))
    {
        return false;
    }
    note_evacuation_end(zone, now);
    evacuations_changed(now);
    return true;
}

void gateway_state::evacuations_changed(time_point now)
{
    servers_.set_evacuations(evacuations_);
    servers_changed(now);
}

bool gateway_state::is_closed_by_drain(const server_id& server,
                                       bool is_owner,
                                       time_point now) const
{
    const known_server* it = servers_.find(server);
    return it != nullptr && (is_owner ? it->is_past_evacuation(now) : it->is_evacuated());
}

warm_up_policy gateway_state::warm_up_policy_of(const service_name& service) const
{
    const auto found = services_.find(service);
    const double per_second =
        found == services_.end() ? 0 : found->second.config.warm_up_per_s;
    return {per_second, settings_.warm_up_overage, settings_.warm_up_slack};
}

// Each entry once: servers renew their entries often, and each renewal comes here.
void gateway_state::note_warm_ups(time_point now)
{
    for (const auto& [id, it] : servers_.all())
    {
        const bool is_news = it.entry_received_at >= warm_ups_noted_at_;
        if (is_news && warm_up_policy_of(it.entry.service).has_limit())
        {
            const bool is_changed = warm_ups_.note_entry(
                id, it.entry.incarnation, it.entry.warm_up_left, it.entry_received_at);
            has_warm_up_news_ = has_warm_up_news_ || is_changed;
        }
    }
    warm_ups_noted_at_ = now;
}

void gateway_state::note_evacuation_end(const data_centre& zone, time_point ended_at)
{
    for (const auto& [id, it] : servers_.all())
    {
        const auto service = services_.find(it.entry.service);
        const bool is_limited = it.entry.zone == zone && service != services_.end() &&
                                service->second.config.warm_up_per_s > 0;
        if (is_limited)
        {
            warm_ups_.note_evacuation_end(
                id, it.entry.incarnation, service->second.config.warm_up, ended_at);
            has_warm_up_news_ = true;
        }
    }
}

warm_up_change gateway_state::observe_warm_up(const server_id& server,
                                              const server_incarnation& incarnation,
                                              const warm_up_statement& said,
                                              time_point now)
{
    const known_server* known = said.is_present ? servers_.find(server) : nullptr;
    const bool is_limited =
        known != nullptr && warm_up_policy_of(known->entry.service).has_limit();
    return is_limited ? warm_ups_.observe(server, incarnation, said, now)
                      : warm_up_change::none;
}

void gateway_state::adopt_warm_up(const cold_server& seen, time_point now)
{
    const known_server* known = servers_.find(seen.server);
    const bool is_limited = is_same_incarnation(known, seen.incarnation) &&
                            warm_up_policy_of(known->entry.service).has_limit();
    const bool is_news =
        is_limited && warm_ups_.adopt(seen.server, seen.incarnation, seen.left, now);
    if (is_news)
    {
        notify(listeners_);
    }
}

std::vector<warm_up_transition> gateway_state::take_warm_up_transitions(time_point now)
{
    has_warm_up_news_ = false;
    std::vector<warm_up_transition> transitions = warm_ups_.take_transitions(now);
    for (const warm_up_transition& it : transitions)
    {
        forget_limit_reached(it.server);
    }
    const bool has_begun =
        std::any_of(transitions.begin(),
                    transitions.end(),
                    [](const warm_up_transition& it) { return it.is_cold; });
    if (has_begun)
    {
        notify(listeners_);
    }
    return transitions;
}

std::optional<double> gateway_state::warm_up_rate_of(
    const server_id& server, const server_incarnation& incarnation, time_point now) const
{
    const known_server* known = warm_ups_.empty() ? nullptr : servers_.find(server);
    return known == nullptr
               ? std::nullopt
               : warm_ups_.rate_of(
                     server, incarnation, warm_up_policy_of(known->entry.service), now);
}

std::optional<double> gateway_state::rate_of(const server_id& server,
                                             const server_incarnation& incarnation,
                                             time_point now) const
{
    const std::optional<double> named = limits_.rate_of(server, incarnation, now);
    const std::optional<double> cold = warm_up_rate_of(server, incarnation, now);
    return named && cold ? std::min(*named, *cold) : named ? named : cold;
}

bool gateway_state::announce_leaving(const server_id& id,
                                     const server_incarnation& incarnation,
                                     time_point now)
{
    if (!servers_.announce_leaving(id, incarnation, now))
    {
        return false;
    }
    servers_changed(now);
    return true;
}

limit_change gateway_state::observe_limit(const server_id& server,
                                          const server_incarnation& incarnation,
                                          const limit_statement& said,
                                          time_point now)
{
    const limit_change change = limits_.observe(server, incarnation, said, now);
    if (change != limit_change::none && change != limit_change::unreadable)
    {
        forget_limit_reached(server);
    }
    return change;
}

void gateway_state::adopt_limit(const server_limit& seen, time_point now)
{
    const auto before = limits_.rate_of(seen.server, seen.incarnation, now);
    const bool is_changed = limits_.adopt(seen) &&
                            limits_.rate_of(seen.server, seen.incarnation, now) != before;
    if (is_changed)
    {
        forget_limit_reached(seen.server);
    }
}

// By the service time that all gateways have measured; without their reports, by what
// this gateway has measured.
double gateway_state::warm_capacity_of(const service_state& service,
                                       const listed_server& server,
                                       time_point now) const
{
    const double slots = std::max(1U, server.slots);
    const double own_capacity = service.pool.capacity(server.id, now);
    const auto own_time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(slots / own_capacity));
    const duration time = owner_times_.estimate(server.id, own_time, now);
    return slots / std::max(std::chrono::duration<double>(time).count(), 1e-6);
}

double gateway_state::capacity_of(const service_name& service,
                                  const listed_server& server,
                                  time_point now) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
    {
        return 1;
    }
    const double warm = warm_capacity_of(found->second, server, now);
    const auto cold_rate = warm_up_rate_of(server.id, server.incarnation, now);
    return std::min(warm, cold_rate.value_or(warm));
}

void gateway_state::forget_limit_reached(const server_id& server)
{
    for (auto& [name, it] : services_)
    {
        it.pool.forget_limit_reached(server);
    }
}

void gateway_state::expire_limits(time_point now)
{
    limits_.expire(
        [&](const server_limit& it)
        { return is_same_incarnation(servers_.find(it.server), it.incarnation); },
        now);
    warm_ups_.expire(
        [&](const server_id& server, const server_incarnation& incarnation)
        {
            const known_server* known = servers_.find(server);
            return is_same_incarnation(known, incarnation) &&
                   warm_up_policy_of(known->entry.service).has_limit();
        });
    // Their rate has risen since requests were told to wait. A limit that is named has
    // not.
    for (const server_id& it : warm_ups_.recovering(now))
    {
        const known_server* known = servers_.find(it);
        const bool has_named_limit =
            known != nullptr && limits_.rate_of(it, known->entry.incarnation, now);
        if (!has_named_limit)
        {
            forget_limit_reached(it);
        }
    }
}

void gateway_state::update_pool(service_state& it, time_point now)
{
    const std::vector<const known_server*> servers = servers_.servers_of(it.config.name);
    it.pool.set_leaving_owner_limit(leaving_owner_limit());
    it.pool.update(servers, now);
    update_group_servers(it, servers);
}

duration gateway_state::leaving_owner_limit() const
{
    return std::max<duration>(settings_.server_drain_time - notice_delay(),
                              duration::zero());
}

duration gateway_state::notice_delay() const
{
    return groups_.is_single_group() ? small_fleet_notice_delay
                                     : large_fleet_notice_delay;
}

// Only services without keys prefer the servers of this gateway's group: a key has one
// owner, which may belong to any group.
void gateway_state::update_group_servers(service_state& it,
                                         const std::vector<const known_server*>& servers)
{
    if (!it.config.is_keyed)
    {
        it.pool.set_group_servers(groups_.in_group_servers(servers));
    }
}

bool gateway_state::set_assignment(const key_assignment& assignment, time_point now)
{
    if (assignment.version <= assignment_.version)
    {
        return false;
    }
    assignment_ = assignment;
    track_moves(now);
    notify(listeners_);
    return true;
}

void gateway_state::track_moves(time_point now)
{
    std::map<moving_range, time_point> move_starts;
    for (const service_key_ranges& row : assignment_.services)
    {
        for (const assigned_key_range& it : row.key_ranges)
        {
            if (it.is_moving)
            {
                const moving_range moving{row.service, it.keys.first, it.grant_epoch};
                const auto old = move_starts_.find(moving);
                move_starts[moving] = old != move_starts_.end() ? old->second : now;
            }
        }
    }
    move_starts_ = std::move(move_starts);
}

bool gateway_state::is_move_stuck(const service_name& service,
                                  shard_key key,
                                  time_point now) const
{
    const assigned_key_range* range = assignment_.find(service, key);
    if (range == nullptr)
    {
        return true;
    }
    const auto start =
        move_starts_.find({service, range->keys.first, range->grant_epoch});
    return start != move_starts_.end() && now - start->second > max_move_time;
}

service_state* gateway_state::find_service(const service_name& name)
{
    auto it = services_.find(name);
    return it == services_.end() ? nullptr : &it->second;
}

bool gateway_state::try_spend_retry_at_all(time_point now)
{
    const bool is_allowed =
        std::all_of(services_.begin(),
                    services_.end(),
                    [&](auto& it) { return it.second.budget.allows_retry(now); });
    if (!is_allowed)
    {
        return false;
    }
    for (auto& [name, it] : services_)
    {
        it.budget.try_spend_retry(now);
    }
    return true;
}

void gateway_state::forget_unreachable_servers()
{
    for (auto& [name, it] : services_)
    {
        it.pool.forget_unreachable();
    }
}

std::vector<service_name> gateway_state::keyed_services() const
{
    std::vector<service_name> names;
    for (const auto& [name, it] : services_)
    {
        if (it.config.is_keyed)
        {
            names.push_back(name);
        }
    }
    return names;
}

// Chooses the part whose request count is furthest below its weight's proportion.
const service_name& gateway_state::choose_service(const gateway_route& route)
{
    if (route.parts.size() == 1)
    {
        return route.parts.front().service;
    }
    std::vector<unsigned>& picks = route_picks_[route.name];
    picks.resize(route.parts.size());
    unsigned sum = 1;
    unsigned weights = 0;
    for (std::size_t n = 0; n < picks.size(); ++n)
    {
        sum += picks[n];
        weights += route.parts[n].weight;
    }
    std::size_t best = 0;
    double largest_deficit = 0;
    for (std::size_t n = 0; n < picks.size(); ++n)
    {
        const double due = static_cast<double>(route.parts[n].weight) * sum / weights;
        const double deficit = due - picks[n];
        if (deficit > largest_deficit)
        {
            best = n;
            largest_deficit = deficit;
        }
    }
    ++picks[best];
    if (sum > max_route_picks)
    {
        picks.assign(picks.size(), 0);
    }
    return route.parts[best].service;
}

void gateway_state::set_gateways(std::vector<fleet_gateway> all)
{
    std::sort(all.begin(), all.end());
    if (all == gateways_)
    {
        return;
    }
    gateways_ = std::move(all);
    groups_ = gateway_groups::create(gateways_, self());
    for (auto& [name, it] : services_)
    {
        update_group_servers(it, servers_.servers_of(name));
    }
    largest_fleet_ = std::max(largest_fleet_, gateways_.size());
    update_retry_slack();
    notify(fleet_listeners_);
}

bool gateway_state::has_stronger_gateway() const
{
    return std::any_of(gateways_.begin(),
                       gateways_.end(),
                       [&](const fleet_gateway& it) {
                           return it.processor_percent >= 2 * settings_.processor_percent;
                       });
}

void gateway_state::update_retry_slack()
{
    const std::size_t n = largest_fleet_ == 0 ? assumed_fleet_size : largest_fleet_;
    for (auto& [name, it] : services_)
    {
        it.budget.set_slack(retry_bound_fraction * settings_.retry_slack /
                            static_cast<double>(n));
    }
}

std::vector<server_requests> gateway_state::requests_in_flight(time_point now) const
{
    std::vector<server_requests> made;
    for (const auto& [name, it] : services_)
    {
        it.pool.add_in_flight(made, now);
    }
    return made;
}

std::vector<server_service_time> gateway_state::take_owner_service_times()
{
    std::vector<server_service_time> made;
    for (auto& [name, it] : services_)
    {
        if (it.config.is_keyed)
        {
            it.pool.take_service_times(made);
        }
    }
    return made;
}

void gateway_state::set_remote_loads(const remote_loads& loads)
{
    for (auto& [name, it] : services_)
    {
        const std::size_t users =
            it.config.is_keyed ? gateways_.size() : groups_.members().size();
        it.pool.set_remote_loads(loads, static_cast<unsigned>(users));
    }
}

std::vector<aged_server_report> gateway_state::take_server_reports(std::size_t max_rows,
                                                                   time_point now)
{
    std::vector<aged_server_report> made;
    for (auto& [name, it] : services_)
    {
        it.pool.take_reports(made, max_rows, now);
    }
    return made;
}

void gateway_state::adopt_server_reports(const std::vector<aged_server_report>& reports,
                                         time_point now)
{
    for (auto& [name, it] : services_)
    {
        it.pool.adopt_reports(reports, now);
    }
}

void gateway_state::notify(const std::vector<std::function<void()>>& listeners)
{
    for (const std::function<void()>& it : listeners)
    {
        it();
    }
}

} // namespace camphorrock
