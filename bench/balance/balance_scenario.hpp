#pragma once

// A script of changes to the key popularity and the servers of one service. Times count
// from its start.

#include "core/base/time.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace camphorrock
{

// From `at` on, `key` is the hot key; nullopt: no key is hot.
struct hot_key_change
{
    duration at{};
    std::optional<std::size_t> key; // index in the population
};

// From `at` on, the server with that index takes keys (it joined) or takes none (it
// left).
struct membership_change
{
    duration at{};
    std::size_t server = 0;
    bool takes_keys = true;
};

struct balance_scenario
{
    std::string name;
    duration length = seconds(300);
    std::size_t servers = 8;         // valid server indices are below this
    std::size_t initial_servers = 8; // the first of them, which take keys from the start
    std::size_t key_count = 20'000;
    double zipf_exponent = 0.8;
    double requests_per_s = 2000;   // of all keys but the hot one
    double hot_load_fraction = 0.8; // load of the hot key / mean load of a server
    std::vector<hot_key_change> hot_key_changes;
    std::vector<membership_change> membership_changes;
};

// The scenarios of a service with `servers` servers at the start.
std::vector<balance_scenario> balance_scenarios(std::size_t servers);

} // namespace camphorrock
