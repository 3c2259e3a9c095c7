#pragma once

// A script of load and faults for the queues of one deployment. The same script, drawn
// from the same seed, is played to every policy.

#include "core/base/time.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace camphorrock
{

// From `from` on the offered load is `load` times what the slots carry.
struct load_phase
{
    duration from{};
    double load = 0;
    bool is_crest = false; // measured on its own
};

// From `from` on the server behaves so, whatever it reports.
struct server_phase
{
    duration from{};
    std::size_t real_slots = 3;
    double slowdown = 1;       // factor on service times
    double failed = 0;         // share of requests that fail at once
    bool sheds_excess = false; // refuses what exceeds its slots; false: it queues it
    bool frozen = false;       // starts nothing
};

// How callers act on a refusal or on silence.
struct retry_phase
{
    duration from{};
    duration to{};
    duration patience = milliseconds(100); // sends again when not answered for so long
    duration pause = milliseconds(20);     // after a refusal, whatever it says
    unsigned max_attempts = 10;
};

struct queue_scenario
{
    std::string name;
    duration length = seconds(60);
    duration warm_up = seconds(5); // not measured
    std::size_t slots = 3;         // as the server reports them
    std::size_t offered_slots = 3; // what the load is a multiple of
    double short_share = 0.75;     // of the offered slot time
    double long_share = 0.25;
    double hidden_stragglers =
        0; // share of short requests that take as long as long ones
    duration short_mean = milliseconds(10);
    duration long_mean = milliseconds(500);
    duration short_deadline = milliseconds(250);
    duration long_deadline = seconds(5);
    std::size_t callers = 20;
    double first_caller_weight = 1; // requests of the first caller for one of another
    std::vector<load_phase> load;
    std::vector<server_phase> server;
    std::vector<retry_phase> retries;
};

// The servers of a deployment as the operators run it.
struct deployment
{
    std::string name;
    std::vector<std::size_t> servers_of_service;
    double short_share = 0.75;
    double long_share = 0.25;
};

// Blue Mahoe and Tayside.
const std::vector<deployment>& deployments();

std::size_t server_count(const deployment& of);

// The scenarios of a deployment, in the order of the report.
std::vector<queue_scenario> queue_scenarios(const deployment& of);

} // namespace camphorrock
