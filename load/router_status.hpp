#pragma once

// What a router's metrics say of the configuration that it serves with.

#include "codec/history.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

// The value of a metric without labels in Prometheus' text form, as it is written there.
// None where it is absent. O(length).
std::optional<std::string> metric_value(std::string_view text, std::string_view name);

// Fills in process, version and is_serving. False where the text lacks one of them.
bool read_router_status(std::string_view metrics, router_config_record& out);

} // namespace camphorrock
