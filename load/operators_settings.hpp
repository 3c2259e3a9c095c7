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
    duration length = seconds(10); // new rounds begin for this long
    duration drain = seconds(3);   // polling continues for this long after the last round
    std::string history;           // path of the file; empty: no history
    std::vector<endpoint> assigners;
    std::vector<endpoint> routers; // their admin ports
    std::vector<endpoint> store;
    std::vector<service_name> services; // each has one operator, who patches it
    duration poll_period = milliseconds(100);
    duration round_pause = milliseconds(300);
    duration timeout = seconds(4); // of one submission
    unsigned max_submissions = 6;  // of a patch, until it is settled
    double repeat_share = 0.2;     // fraction of accepted patches submitted again
};

// Records all faults in the reader that `root` belongs to.
operators_settings read_operators_settings(settings_map root);

} // namespace camphorrock
