#pragma once

// The settings file of camphorrock-operators. See docs/LOAD.md.

#include "app/settings_reader.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorrock
{

struct operators_settings
{
    std::uint64_t seed = 1;
    duration length = seconds(10); // rounds begin within this time
    duration drain = seconds(3);   // and their submissions are waited for this long
    std::string history;           // file of the records; empty: none
    std::vector<endpoint> assigners;
    std::vector<endpoint> routers; // their admin ports
    std::vector<endpoint> store;
    std::vector<service_name> services; // one operator each, who patches it
    duration poll_period = milliseconds(100);
    duration round_pause = milliseconds(300);
    duration timeout = seconds(4); // of one submission
    unsigned submissions = 6;      // of one patch that stays unsettled
    double repeat_share = 0.2;     // accepted patches that are submitted once more
};

// Notes every fault in the reader that `root` belongs to.
operators_settings read_operators_settings(settings_map root);

} // namespace camphorrock
