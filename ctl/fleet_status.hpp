#pragma once

// One picture of the fleet out of what each assigner tells. An assigner knows the servers
// and the voters of the shards that it holds, and hears only the routers that report to
// it.

#include <json/value.h>

#include <vector>

namespace camphorrock
{

// Merges bodies of GET /operator/status, of which there must be at least one. A shard is
// told by the assigner that holds it, by the highest epoch where two claim to; a router
// by the assigner that heard it last. The other fields come from the body with the newest
// configuration. Each shard gains `seen_by`, the assigner that told it.
Json::Value merge_status(const std::vector<Json::Value>& bodies);

} // namespace camphorrock
