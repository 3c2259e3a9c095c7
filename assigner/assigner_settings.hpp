#pragma once

// The settings file of camphorrock-assigner. See docs/CONFIG.md for each key.

#include "app/process_settings.hpp"
#include "core/base/time.hpp"

namespace camphorrock
{

struct assigner_settings : process_settings
{
    duration lease_ttl = seconds(1); // of the store lease that shards are held with
};

// Records all faults in the reader that `root` belongs to.
assigner_settings read_assigner_settings(settings_map root);

} // namespace camphorrock
