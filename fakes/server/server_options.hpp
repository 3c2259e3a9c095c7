#pragma once

// What a stand-in server does, from its command line.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorrock
{

// How long requests take.
struct work_time_options
{
    duration short_mean = milliseconds(10); // exponential
    duration long_min = milliseconds(250);  // uniform between the two
    duration long_max = milliseconds(750);
    double straggler_share =
        0; // of all requests: they take straggler_factor times longer
    double straggler_factor = 20;
    duration cold_time{};   // after the start
    double cold_factor = 5; // during cold_time everything takes this much longer
};

// What may be changed while the server runs.
struct server_behaviour
{
    double fail_share = 0;  // runs that answer 500, while /healthz stays good
    double shed_share = 0;  // requests refused without being run
    double slow_factor = 1; // on all service times
};

struct server_options
{
    server_id id;
    bool checks_epoch = true;
    std::size_t slots = 3;
    std::size_t max_queued = 64;
    std::size_t answer_bytes = 200; // padding of each answer
    std::uint64_t seed = 1;
    work_time_options times;
    server_behaviour behaviour;
};

} // namespace camphorrock
