#pragma once

// The settings file of camphorrock-router. See docs/CONFIG.md for each key.

#include "app/settings_reader.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <vector>

namespace camphorrock
{

struct router_settings
{
    instance_id id;
    data_centre zone;
    endpoint listen;                        // callers
    endpoint peer;                          // other instances of ours
    endpoint admin;                         // health, readiness, metrics
    std::vector<endpoint> store;            // the platform's key-value service
    endpoint platform;                      // the platform's instance list
    duration default_timeout = seconds(10); // of a request that names none
    duration drain_limit = seconds(30);     // after SIGTERM
    std::size_t max_body_bytes = 1 << 20;
    std::size_t max_requests = 16384; // held at once; further ones are refused
    std::uint64_t seed = 0;           // of jitter; 0: from the system
};

// Notes every fault in the reader that `root` belongs to.
router_settings read_router_settings(settings_map root);

} // namespace camphorrock
