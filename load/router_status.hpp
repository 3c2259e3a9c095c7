#pragma once

// Reads from a router's metrics which configuration it serves with.

#include "codec/history.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

// Returns the text of the value of a metric without labels in the Prometheus text format,
// or nullopt if the metric is absent. Takes O(length) time.
std::optional<std::string> metric_value(std::string_view text, std::string_view name);

// Fills in process, version and is_serving. Returns false if one of their metrics is
// missing or the version is not a number.
bool read_router_status(std::string_view metrics, router_config_record& out);

} // namespace camphorrock
