#pragma once

// Draws how long a request takes.

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
    service_time(work_time_options options, std::uint64_t seed, time_point started_at);

    duration draw(work_class work, time_point now);

    // True for the given share of calls, at random.
    bool chance(double share);

private:
    work_time_options options_;
    std::mt19937_64 random_;
    time_point started_at_;
};

} // namespace camphorrock
