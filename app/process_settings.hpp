#pragma once

// Settings that the files of the router and the assigner share. See docs/CONFIG.md.

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
    endpoint peer;               // listen address for other processes of the fleet
    endpoint advertise;          // address that they connect to; empty: same as `peer`
    std::string source;          // source IP of outgoing connections; empty: any
    endpoint admin;              // listen address for health, readiness and metrics
    std::vector<endpoint> store; // endpoints of the platform's key-value service
    endpoint platform;           // endpoint of the platform's instance list
    std::uint64_t seed = 0;      // of random jitter; 0: drawn from the system
};

// Records all faults in the reader that `root` belongs to.
process_settings read_process_settings(settings_map& root);

} // namespace camphorrock
