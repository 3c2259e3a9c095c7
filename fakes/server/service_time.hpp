#pragma once

// Draws the service times of requests, and other random decisions, from one seed.

#include "fakes/server/server_options.hpp"

#include <cstdint>
#include <random>

namespace camphorrock
{

enum class work_class
{
    short_work,
    long_work,
};

class service_time
{
public:
    // The cold period begins at `started_at`.
    service_time(work_time_options options, std::uint64_t seed, time_point started_at);

    // Returns the service time of a request that starts at `now`.
    duration draw(work_class work, time_point now);

    // Returns true with the probability `share`, in [0, 1].
    bool draw_with_probability(double share);

private:
    work_time_options options_;
    std::mt19937_64 random_;
    time_point started_at_;
};

} // namespace camphorrock
