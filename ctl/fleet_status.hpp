#pragma once

// Merges the status reports of several assigners into one status of the fleet. An
// assigner knows the servers and the voters of the shards that it holds, and receives
// reports only from the routers that report to it.

#include <json/value.h>

#include <vector>

namespace camphorrock
{

// Merges bodies of GET /operator/status, of which there must be at least one. A shard is
// taken from the assigner that holds it, or from the one with the highest epoch if
// several claim to hold it; a router from the assigner that received its latest report.
// The other fields come from the body with the newest configuration. Each shard gains
// `seen_by`, the assigner whose report was taken.
Json::Value merge_status(const std::vector<Json::Value>& bodies);

} // namespace camphorrock
