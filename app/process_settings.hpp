#pragma once

// What the settings files of router and assigner have in common. See docs/CONFIG.md.

#include "app/settings_reader.hpp"
#include "core/base/names.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorrock
{

struct process_settings
{
    instance_id id;
    data_centre zone;
    endpoint peer;               // where this instance listens for others
    endpoint advertise;          // where they reach it; empty: at `peer`
    std::string source;          // IP of outgoing connections; empty: any
    endpoint admin;              // health, readiness, metrics
    std::vector<endpoint> store; // the platform's key-value service
    endpoint platform;           // the platform's instance list
    std::uint64_t seed = 0;      // of jitter; 0: from the system
};

// Notes every fault in the reader that `root` belongs to.
process_settings read_process_settings(settings_map& root);

} // namespace camphorrock
