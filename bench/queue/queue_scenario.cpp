#include "bench/queue/queue_scenario.hpp"

#include <numeric>

namespace camphorrock
{
namespace
{

constexpr double off_peak_load = 0.6; // load factor
constexpr duration swing_period = seconds(15);
constexpr duration peak_length = seconds(5);

// Returns low load with a peak of 5 s in every 15 s.
std::vector<load_phase> load_swings(double peak, duration length)
{
    std::vector<load_phase> phases{{seconds(0), off_peak_load, false}};
    for (duration at = peak_length; at + peak_length <= length; at += swing_period)
    {
        phases.push_back({at, peak, true});
        phases.push_back({at + peak_length, off_peak_load, false});
    }
    return phases;
}

queue_scenario base_scenario(const deployment& target, std::string name)
{
    queue_scenario it;
    it.name = std::move(name);
    it.short_share = target.short_share;
    it.long_share = target.long_share;
    it.load_phases = {{seconds(0), off_peak_load, false}};
    it.server_phases = {{}};
    return it;
}

queue_scenario swing_scenario(const deployment& target, std::string name, double peak)
{
    queue_scenario it = base_scenario(target, std::move(name));
    it.load_phases = load_swings(peak, it.length);
    return it;
}

// A few requests of the short route take unpredictably long.
queue_scenario straggler_scenario(const deployment& target)
{
    queue_scenario it = swing_scenario(target, "stragglers", 1.5);
    it.straggler_share = 0.002;
    return it;
}

// One caller sends three times as much as all others together and, in the peaks, more
// than the capacity of the slots.
queue_scenario greedy_caller_scenario(const deployment& target)
{
    queue_scenario it = swing_scenario(target, "greedy-caller", 2);
    it.first_caller_weight = static_cast<double>(it.callers - 1) * 3;
    return it;
}

// A server that has just started: it is slow at first, has one actual slot, and sheds the
// requests that exceed it.
queue_scenario cold_start_scenario(const deployment& target)
{
    queue_scenario it = base_scenario(target, "cold-start");
    it.length = seconds(20);
    it.warm_up = seconds(0);
    it.load_phases = {{seconds(0), 0.5, true}};
    it.server_phases = {{seconds(0), 1, 4, 0, true, false},
                        {seconds(3), 2, 2, 0, true, false},
                        {seconds(6), 3, 1, 0, true, false}};
    return it;
}

// The server reports three slots and good health throughout. For 15 s it has only one
// slot, and later 90% of its answers fail for 5 s.
queue_scenario misleading_health_scenario(const deployment& target)
{
    queue_scenario it = base_scenario(target, "misleading-health");
    it.length = seconds(60);
    it.load_phases = {{seconds(0), off_peak_load, true}};
    it.server_phases = {{seconds(0), 3, 1, 0, false, false},
                        {seconds(15), 1, 1, 0, false, false},
                        {seconds(30), 3, 1, 0, false, false},
                        {seconds(40), 3, 1, 0.9, false, false},
                        {seconds(45), 3, 1, 0, false, false}};
    return it;
}

// The server freezes for one second. From then on, for a minute, all callers retry after
// short delays.
queue_scenario retry_storm_scenario(const deployment& target)
{
    queue_scenario it = base_scenario(target, "retry-storm");
    it.length = seconds(110);
    it.load_phases = {{seconds(0), 0.8, false}};
    it.server_phases = {
        {}, {seconds(30), 3, 1, 0, false, true}, {seconds(31), 3, 1, 0, false, false}};
    it.retry_phases = {
        {seconds(30), seconds(90), milliseconds(100), milliseconds(20), 10}};
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

std::size_t server_count(const deployment& target)
{
    return std::accumulate(target.servers_of_service.begin(),
                           target.servers_of_service.end(),
                           std::size_t{0});
}

std::vector<queue_scenario> queue_scenarios(const deployment& target)
{
    return {swing_scenario(target, "crest-1.5", 1.5),
            swing_scenario(target, "crest-2.0", 2.0),
            straggler_scenario(target),
            greedy_caller_scenario(target),
            cold_start_scenario(target),
            misleading_health_scenario(target),
            retry_storm_scenario(target)};
}

} // namespace camphorrock
