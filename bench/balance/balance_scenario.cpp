#include "bench/balance/balance_scenario.hpp"

namespace camphorrock
{
namespace
{

constexpr std::size_t first_hot = 4'000;
constexpr std::size_t second_hot = 15'000;

balance_scenario base_scenario(std::string name, std::size_t servers)
{
    balance_scenario it;
    it.name = std::move(name);
    it.servers = servers;
    it.at_start = servers;
    return it;
}

// Comes, moves to another key and goes.
balance_scenario hot_key_moves(std::size_t servers)
{
    balance_scenario it = base_scenario("hot-key", servers);
    it.length = seconds(360);
    it.hot = {{seconds(90), first_hot},
              {seconds(180), second_hot},
              {seconds(270), std::nullopt}};
    return it;
}

balance_scenario join(std::size_t servers)
{
    balance_scenario it = base_scenario("join", servers + 1);
    it.at_start = servers;
    it.membership = {{seconds(90), servers, true}};
    return it;
}

balance_scenario leave(std::size_t servers)
{
    balance_scenario it = base_scenario("leave", servers);
    it.membership = {{seconds(90), 0, false}};
    return it;
}

// A server joins and another leaves while a key is hot.
balance_scenario all_at_once(std::size_t servers)
{
    balance_scenario it = base_scenario("hot-key, join and leave", servers + 1);
    it.at_start = servers;
    it.hot = {{seconds(90), first_hot}, {seconds(180), second_hot}};
    it.membership = {{seconds(100), servers, true}, {seconds(190), 0, false}};
    return it;
}

} // namespace

std::vector<balance_scenario> balance_scenarios(std::size_t servers)
{
    return {hot_key_moves(servers), join(servers), leave(servers), all_at_once(servers)};
}

} // namespace camphorrock
