#pragma once

// A script of popularity and membership for one service.

#include "core/base/time.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace camphorrock
{

// From `at` on one key is hot, or none.
struct hot_key_change
{
    duration at{};
    std::optional<std::size_t> key; // index in the population
};

// From `at` on the server of that index takes keys, or does not.
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
    std::size_t servers = 8;  // indices that exist
    std::size_t at_start = 8; // of them, that take keys
    std::size_t keys = 20'000;
    double zipf = 0.8;
    double load = 2000;    // requests a second of all other keys
    double hot_load = 0.8; // of a server's mean load
    std::vector<hot_key_change> hot;
    std::vector<membership_change> membership;
};

// The scenarios of a service with so many servers.
std::vector<balance_scenario> balance_scenarios(std::size_t servers);

} // namespace camphorrock
