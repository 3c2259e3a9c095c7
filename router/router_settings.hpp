#pragma once

// The settings file of camphorrock-router. See docs/CONFIG.md for each key.

#include "app/process_settings.hpp"
#include "core/base/time.hpp"

#include <cstddef>

namespace camphorrock
{

struct router_settings : process_settings
{
    endpoint listen;                        // for callers
    duration default_timeout = seconds(10); // of a request without a timeout header
    duration drain_limit = seconds(30);     // after SIGTERM
    std::size_t max_body_bytes = 1 << 20;
    std::size_t max_requests = 16384; // in progress at once; further ones are refused
};

// Records all faults in the reader that `root` belongs to.
router_settings read_router_settings(settings_map root);

} // namespace camphorrock
