#pragma once

// Generates the requests of one server from a scenario. Short and long requests have
// independent random streams, so that the short ones are the same with and without long
// ones.

#include "bench/queue/queue_scenario.hpp"
#include "bench/queue/scripted_request.hpp"

#include <cstdint>
#include <vector>

namespace camphorrock
{

// Returns the requests sorted by arrival. The same scenario and seed give the same ones.
std::vector<scripted_request> draw_requests(const queue_scenario& scenario,
                                            std::uint64_t seed);

// Returns the phase in force at `at`. `phases` must be sorted by `from`, the first at 0.
template<class Phase>
const Phase& phase_at(const std::vector<Phase>& phases, duration at)
{
    const Phase* found = &phases.front();
    for (const Phase& it : phases)
    {
        if (it.from > at)
        {
            break;
        }
        found = &it;
    }
    return *found;
}

} // namespace camphorrock
