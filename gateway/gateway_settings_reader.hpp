#pragma once

// Reads the settings file of a gateway; see docs/CONFIG.md.

#include "app/settings_reader.hpp"
#include "gateway/gateway_settings.hpp"

namespace camphorrock
{

// Notes every fault in the reader that `root` belongs to.
gateway_settings read_gateway_settings(settings_map& root);

} // namespace camphorrock
