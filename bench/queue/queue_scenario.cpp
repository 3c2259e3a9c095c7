#include "bench/queue/queue_scenario.hpp"

#include <numeric>

namespace camphorrock
{
namespace
{

constexpr double quiet_load = 0.6;
constexpr duration swing_period = seconds(15);
constexpr duration swing_crest = seconds(5);

// Quiet, then a crest of a few seconds, again and again.
std::vector<load_phase> swings(double crest, duration length)
{
    std::vector<load_phase> phases{{seconds(0), quiet_load, false}};
    for (duration at = swing_crest; at + swing_crest <= length; at += swing_period)
    {
        phases.push_back({at, crest, true});
        phases.push_back({at + swing_crest, quiet_load, false});
    }
    return phases;
}

queue_scenario base_scenario(const deployment& of, std::string name)
{
    queue_scenario it;
    it.name = std::move(name);
    it.short_share = of.short_share;
    it.long_share = of.long_share;
    it.load = {{seconds(0), quiet_load, false}};
    it.server = {{}};
    return it;
}

queue_scenario swing(const deployment& of, std::string name, double crest)
{
    queue_scenario it = base_scenario(of, std::move(name));
    it.load = swings(crest, it.length);
    return it;
}

// Unpredictable stragglers on the short route.
queue_scenario stragglers(const deployment& of)
{
    queue_scenario it = swing(of, "stragglers", 1.5);
    it.hidden_stragglers = 0.002;
    return it;
}

// One caller sends as much as all others together, and more than the slots carry.
queue_scenario greedy_caller(const deployment& of)
{
    queue_scenario it = swing(of, "greedy-caller", 2);
    it.first_caller_weight = static_cast<double>(it.callers - 1) * 3;
    return it;
}

// A server that has just started: slow, with one real slot, shedding the rest.
queue_scenario cold_start(const deployment& of)
{
    queue_scenario it = base_scenario(of, "cold-start");
    it.length = seconds(20);
    it.warm_up = seconds(0);
    it.load = {{seconds(0), 0.5, true}};
    it.server = {{seconds(0), 1, 4, 0, true, false},
                 {seconds(3), 2, 2, 0, true, false},
                 {seconds(6), 3, 1, 0, true, false}};
    return it;
}

// Reports three slots and good health while it has one, and then while all answers fail.
queue_scenario misleading_health(const deployment& of)
{
    queue_scenario it = base_scenario(of, "misleading-health");
    it.length = seconds(60);
    it.load = {{seconds(0), quiet_load, true}};
    it.server = {{seconds(0), 3, 1, 0, false, false},
                 {seconds(15), 1, 1, 0, false, false},
                 {seconds(30), 3, 1, 0, false, false},
                 {seconds(40), 3, 1, 0.9, false, false},
                 {seconds(45), 3, 1, 0, false, false}};
    return it;
}

// A freeze of a second sets off a minute in which all callers retry without pause.
queue_scenario retry_storm(const deployment& of)
{
    queue_scenario it = base_scenario(of, "retry-storm");
    it.length = seconds(110);
    it.load = {{seconds(0), 0.8, false}};
    it.server = {
        {}, {seconds(30), 3, 1, 0, false, true}, {seconds(31), 3, 1, 0, false, false}};
    it.retries = {{seconds(30), seconds(90), milliseconds(100), milliseconds(20), 10}};
    return it;
}

} // namespace

const std::vector<deployment>& deployments()
{
    static const std::vector<deployment> all{
        {"blue-mahoe", {8, 8, 8, 8}, 0.75, 0.25},
        {"tayside", {8, 9, 10, 11}, 4.0 / 7, 3.0 / 7},
    };
    return all;
}

std::size_t server_count(const deployment& of)
{
    return std::accumulate(
        of.servers_of_service.begin(), of.servers_of_service.end(), std::size_t{0});
}

std::vector<queue_scenario> queue_scenarios(const deployment& of)
{
    return {swing(of, "crest-1.5", 1.5),
            swing(of, "crest-2.0", 2.0),
            stragglers(of),
            greedy_caller(of),
            cold_start(of),
            misleading_health(of),
            retry_storm(of)};
}

} // namespace camphorrock
