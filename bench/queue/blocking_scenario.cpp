#include "bench/queue/blocking_scenario.hpp"

#include <sstream>

namespace camphorrock
{
namespace
{

constexpr std::size_t short_only_slots = 2;

std::string scenario_name(const blocking_mix& mix)
{
    std::ostringstream text;
    text << "short " << mix.short_share * 100 << "%, long " << mix.long_share * 100
         << "% of capacity";
    return text.str();
}

} // namespace

const std::vector<blocking_mix>& blocking_mixes()
{
    static const std::vector<blocking_mix> all{{0.4, 0.2},
                                               {0.5, 0.2},
                                               {0.6, 0.2},
                                               {0.4, 0.3},
                                               {0.5, 0.3},
                                               {0.6, 0.3},
                                               {0.01, 0.6},
                                               {0.002, 0.6}};
    return all;
}

queue_scenario blocking_scenario(const blocking_mix& mix)
{
    queue_scenario it;
    it.name = scenario_name(mix);
    it.length = seconds(300);
    it.short_share = mix.short_share;
    it.long_share = mix.long_share;
    it.short_deadline = seconds(2);
    it.long_deadline = seconds(10);
    it.load_phases = {{seconds(0), 1, false}};
    it.server_phases = {{}};
    return it;
}

queue_scenario without_long_requests(queue_scenario scenario)
{
    scenario.long_share = 0;
    scenario.slots = short_only_slots;
    scenario.server_phases = {{seconds(0), short_only_slots, 1, 0, false, false}};
    return scenario;
}

} // namespace camphorrock
