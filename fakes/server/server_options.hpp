#pragma once

// Options of a fake server.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorrock
{

// The distributions of the service times of requests.
struct work_time_options
{
    duration short_mean = milliseconds(10); // short work: exponential
    duration long_min = milliseconds(250);  // long work: uniform in [long_min, long_max]
    duration long_max = milliseconds(750);
    double straggler_share = 0;   // fraction of requests that are stragglers
    double straggler_factor = 20; // multiplies the service time of a straggler
    duration cold_time{};         // period after the start in which the server is cold
    double cold_factor = 5;       // multiplies service times during cold_time
};

// Faults that can be changed while the server runs.
struct server_behaviour
{
    double fail_share = 0; // fraction of runs that answer 500; /healthz still answers 200
    double shed_share = 0; // fraction of requests that are refused and not run
    double slow_factor = 1; // multiplies all service times
};

struct server_options
{
    server_id id;
    bool checks_epoch = true; // false: requests of any epoch run
    std::size_t slots = 3;    // requests that run at the same time
    std::size_t max_queued = 64;
    std::size_t answer_bytes = 200; // of padding in each answer
    std::uint64_t seed = 1;         // of all random draws
    work_time_options times;
    server_behaviour behaviour;
};

} // namespace camphorrock
