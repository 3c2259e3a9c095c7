#include "bench/balance/balance_scenario.hpp"

namespace camphorrock
{
namespace
{

// Indices in the population.
constexpr std::size_t first_hot_key = 4'000;
constexpr std::size_t second_hot_key = 15'000;

balance_scenario base_scenario(std::string name, std::size_t servers)
{
    balance_scenario it;
    it.name = std::move(name);
    it.servers = servers;
    it.initial_servers = servers;
    return it;
}

// One key becomes hot, then another in its place, then none.
balance_scenario hot_key_scenario(std::size_t servers)
{
    balance_scenario it = base_scenario("hot-key", servers);
    it.length = seconds(360);
    it.hot_key_changes = {{seconds(90), first_hot_key},
                          {seconds(180), second_hot_key},
                          {seconds(270), std::nullopt}};
    return it;
}

balance_scenario join_scenario(std::size_t servers)
{
    balance_scenario it = base_scenario("join", servers + 1);
    it.initial_servers = servers;
    it.membership_changes = {{seconds(90), servers, true}};
    return it;
}

balance_scenario leave_scenario(std::size_t servers)
{
    balance_scenario it = base_scenario("leave", servers);
    it.membership_changes = {{seconds(90), 0, false}};
    return it;
}

// A server joins and another leaves while a key is hot.
balance_scenario combined_scenario(std::size_t servers)
{
    balance_scenario it = base_scenario("hot-key, join and leave", servers + 1);
    it.initial_servers = servers;
    it.hot_key_changes = {{seconds(90), first_hot_key}, {seconds(180), second_hot_key}};
    it.membership_changes = {{seconds(100), servers, true}, {seconds(190), 0, false}};
    return it;
}

} // namespace

std::vector<balance_scenario> balance_scenarios(std::size_t servers)
{
    return {hot_key_scenario(servers),
            join_scenario(servers),
            leave_scenario(servers),
            combined_scenario(servers)};
}

} // namespace camphorrock
