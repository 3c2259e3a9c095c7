#include "gateway/gateway_state.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

// Of the fleet's retry bound, since the gateways' windows do not end together.
constexpr double used_share = 0.85;

constexpr unsigned forget_given_above = 100000;
// The work that a server ends before it gives keys up seldom takes longer.
constexpr duration longest_move = milliseconds(500);

constexpr std::size_t assumed_gateways = 64; // until they are known

// The store's news of a server reaches every gateway within it; in a large fleet watches
// are slower.
constexpr duration news_time = milliseconds(1100);
constexpr duration large_fleet_news_time = milliseconds(1700);

} // namespace

gateway_state::gateway_state(const gateway_settings& settings, std::uint64_t seed)
    : settings_(settings), random_(static_cast<std::minstd_rand::result_type>(seed))
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
    given_.clear();
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
        const arrival_budget_options budget{
            settings_.retry_share * used_share, 0, settings_.retry_window};
        updated.emplace(
            it.name,
            service_state{it, server_pool(settings_.zone), arrival_budget(budget)});
    }
    services_ = std::move(updated);
    share_retries();
    servers_changed(now);
    return true;
}

void gateway_state::servers_changed(time_point now)
{
    for (auto& [name, it] : services_)
    {
        update_pool(it, now);
    }
    changed();
}

void gateway_state::update_pool(service_state& it, time_point now)
{
    const std::vector<const known_server*> servers = servers_.servers_of(it.config.name);
    it.pool.set_serves_leaving(serves_leaving());
    it.pool.update(servers, now);
    set_near(it, servers);
}

duration gateway_state::serves_leaving() const
{
    const duration news = groups_.is_undivided() ? news_time : large_fleet_news_time;
    return std::max<duration>(settings_.server_drain - news, duration::zero());
}

// A key has one owner, whatever group it is near to.
void gateway_state::set_near(service_state& it,
                             const std::vector<const known_server*>& servers)
{
    if (!it.config.is_keyed)
    {
        it.pool.set_near(groups_.near_servers(servers));
    }
}

bool gateway_state::set_assignment(const key_assignment& assignment, time_point now)
{
    if (assignment.version <= assignment_.version)
    {
        return false;
    }
    assignment_ = assignment;
    note_moves(now);
    changed();
    return true;
}

void gateway_state::note_moves(time_point now)
{
    std::map<moving_share, time_point> moves;
    for (const service_shares& row : assignment_.services)
    {
        for (const key_share& it : row.shares)
        {
            if (it.is_moving)
            {
                const moving_share key{row.service, it.keys.first, it.at};
                const auto old = moves_.find(key);
                moves[key] = old != moves_.end() ? old->second : now;
            }
        }
    }
    moves_ = std::move(moves);
}

bool gateway_state::is_move_stuck(const service_name& service,
                                  shard_key key,
                                  time_point now) const
{
    const key_share* share = assignment_.find(service, key);
    if (share == nullptr)
    {
        return true;
    }
    const auto since = moves_.find({service, share->keys.first, share->at});
    return since != moves_.end() && now - since->second > longest_move;
}

service_state* gateway_state::find_service(const service_name& name)
{
    auto it = services_.find(name);
    return it == services_.end() ? nullptr : &it->second;
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

// The part that is furthest behind its share.
const service_name& gateway_state::choose_part(const gateway_route& route)
{
    if (route.parts.size() == 1)
    {
        return route.parts.front().service;
    }
    std::vector<unsigned>& given = given_[route.name];
    given.resize(route.parts.size());
    unsigned sum = 1;
    unsigned weights = 0;
    for (std::size_t n = 0; n < given.size(); ++n)
    {
        sum += given[n];
        weights += route.parts[n].weight;
    }
    std::size_t best = 0;
    double best_lack = 0;
    for (std::size_t n = 0; n < given.size(); ++n)
    {
        const double due = static_cast<double>(route.parts[n].weight) * sum / weights;
        const double lack = due - given[n];
        if (lack > best_lack)
        {
            best = n;
            best_lack = lack;
        }
    }
    ++given[best];
    if (sum > forget_given_above)
    {
        given.assign(given.size(), 0);
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
        set_near(it, servers_.servers_of(name));
    }
    largest_fleet_ = std::max(largest_fleet_, gateways_.size());
    share_retries();
}

bool gateway_state::has_stronger_gateway() const
{
    return std::any_of(gateways_.begin(),
                       gateways_.end(),
                       [&](const fleet_gateway& it) {
                           return it.processor_percent >= 2 * settings_.processor_percent;
                       });
}

void gateway_state::share_retries()
{
    const std::size_t n = largest_fleet_ == 0 ? assumed_gateways : largest_fleet_;
    for (auto& [name, it] : services_)
    {
        it.budget.set_extra(used_share * settings_.retry_extra / static_cast<double>(n));
    }
}

std::vector<server_requests> gateway_state::requests_in_flight() const
{
    std::vector<server_requests> made;
    for (const auto& [name, it] : services_)
    {
        it.pool.add_in_flight(made);
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

void gateway_state::changed()
{
    for (const std::function<void()>& it : listeners_)
    {
        it();
    }
}

} // namespace camphorrock
