#pragma once

// Reads the settings file of a gateway, which docs/CONFIG.md describes.

#include "app/settings_reader.hpp"
#include "gateway/gateway_settings.hpp"

namespace camphorrock
{

// Records all faults in the reader that `root` belongs to.
gateway_settings read_gateway_settings(settings_map& root);

} // namespace camphorrock
