#pragma once

// A script of load and server faults for the queues of one deployment. Every policy is
// run on the same script with the same seed. Times count from the start of the script.
// Load and server phases are sorted by `from`, and the first ones start at 0.

#include "core/base/time.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace camphorrock
{

// From `from` on, the offered load is `load_factor` times the capacity of the slots.
struct load_phase
{
    duration from{};
    double load_factor = 0;
    bool is_peak = false; // if any phase is a peak, only peaks are measured
};

// The actual behaviour of the server from `from` on, regardless of what it reports.
struct server_phase
{
    duration from{};
    std::size_t actual_slots = 3;
    double slowdown = 1;       // factor of service times
    double failure_rate = 0;   // fraction of requests that fail at once
    bool sheds_excess = false; // sheds requests that exceed its slots; false: queues them
    bool is_frozen = false;    // starts no requests
};

// How callers retry from `from` until before `to`, if they are refused or get no answer.
struct retry_phase
{
    duration from{};
    duration to{};
    duration attempt_timeout = milliseconds(100); // retries without an answer after this
    duration retry_delay = milliseconds(20);      // after a refusal or failure,
                                                  // whatever delay it suggests
    unsigned max_attempts = 10;
};

struct queue_scenario
{
    std::string name;
    duration length = seconds(60);
    duration warm_up = seconds(5); // not measured
    std::size_t slots = 3;         // that the server reports
    std::size_t nominal_slots = 3; // whose capacity is load factor 1
    // The slot time that short and long requests take at load factor 1, as fractions of
    // the capacity.
    double short_share = 0.75;
    double long_share = 0.25;
    double straggler_share = 0; // of short requests, that take as long as long ones
    duration mean_short_service = milliseconds(10);
    duration mean_long_service = milliseconds(500);
    duration short_deadline = milliseconds(250);
    duration long_deadline = seconds(5);
    std::size_t callers = 20;
    double first_caller_weight = 1; // requests of the first caller for each of another
    std::vector<load_phase> load_phases;
    std::vector<server_phase> server_phases;
    std::vector<retry_phase> retry_phases;
};

// The services of one operator and its mix of requests.
struct deployment
{
    std::string name;
    std::vector<std::size_t> servers_of_service; // their number, for each service
    double short_share = 0.75;                   // as in queue_scenario
    double long_share = 0.25;
};

// The deployments of Blue Mahoe and Tayside.
const std::vector<deployment>& deployments();

// The number of servers of all services together.
std::size_t server_count(const deployment& target);

// The scenarios of a deployment, in the order of the report.
std::vector<queue_scenario> queue_scenarios(const deployment& target);

} // namespace camphorrock
