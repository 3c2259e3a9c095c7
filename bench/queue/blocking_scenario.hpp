#pragma once

// Scenarios of short requests behind long ones on one server.

#include "bench/queue/queue_scenario.hpp"

#include <vector>

namespace camphorrock
{

// Shares of what the slots carry.
struct blocking_mix
{
    double short_share = 0;
    double long_share = 0;
};

// The mixes of the report: those of the targets, then two with hardly any short work.
const std::vector<blocking_mix>& blocking_mixes();

// Steady load of both; a long request takes 50 short ones, deadlines leave room to wait.
queue_scenario blocking_scenario(const blocking_mix& mix);

// The same short requests alone, on the slots that long work cannot take.
queue_scenario without_long(queue_scenario scenario);

} // namespace camphorrock
