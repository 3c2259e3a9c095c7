#pragma once

// The settings file of camphorrock-assigner. See docs/CONFIG.md for each key.

#include "app/settings_reader.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <vector>

namespace camphorrock
{

struct assigner_settings
{
    instance_id id;
    data_centre zone;
    endpoint peer;                   // other instances and camphorrock-ctl
    endpoint admin;                  // health, readiness, metrics
    std::vector<endpoint> store;     // the platform's key-value service
    endpoint platform;               // the platform's instance list
    duration lease_ttl = seconds(1); // of the store lease that holds shards
    std::uint64_t seed = 0;          // of jitter; 0: from the system
};

// Notes every fault in the reader that `root` belongs to.
assigner_settings read_assigner_settings(settings_map root);

} // namespace camphorrock
