#pragma once

// Draws the requests of one server from a scenario. Short and long requests come from
// streams of their own, so that the short ones are the same with and without the long.

#include "bench/queue/queue_scenario.hpp"
#include "bench/queue/scripted_request.hpp"

#include <cstdint>
#include <vector>

namespace camphorrock
{

// Sorted by arrival. The same scenario and seed give the same requests.
std::vector<scripted_request> draw_requests(const queue_scenario& scenario,
                                            std::uint64_t seed);

// The index of the phase in force at `at`; phases are sorted by `from`, the first at 0.
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
