#pragma once

// Scenarios in which short requests wait behind long ones on one server.

#include "bench/queue/queue_scenario.hpp"

#include <vector>

namespace camphorrock
{

// The offered slot time of each kind, as fractions of the capacity of all slots.
struct blocking_mix
{
    double short_share = 0;
    double long_share = 0;
};

// The mixes of the report: the ones that the targets name, then two with almost no short
// requests.
const std::vector<blocking_mix>& blocking_mixes();

// Returns a scenario with a steady load of both kinds. A long request takes as long as 50
// short ones, and the deadlines leave time to wait.
queue_scenario blocking_scenario(const blocking_mix& mix);

// Returns the scenario with the same short requests and no long ones, on the two slots
// that long requests may not use.
queue_scenario without_long_requests(queue_scenario scenario);

} // namespace camphorrock
