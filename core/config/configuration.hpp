#pragma once

// The operators' configuration: one versioned document in the store, which is changed by
// patches only. See docs/DESIGN.md, "Configuration".
//
// Invariants, checked by validate():
//   - services and servers are sorted by name, and names are unique;
//   - endpoints are "IP:port", and no two servers of a service share one;
//   - counts and times are within the bounds below;
//   - patches are sorted by version, none above the document's.

#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "core/base/time.hpp"
#include "core/config/config_version.hpp"
#include "core/config/service_config.hpp"

#include <cstddef>
#include <vector>

namespace camphorrock
{

// An accepted patch and the version that it made.
struct applied_patch
{
    patch_id id;
    config_version version;

    bool operator==(const applied_patch&) const = default;
};

// Settings that apply to the whole fleet.
struct fleet_config
{
    duration journal_retention = seconds(3600); // how long request ids are kept
    unsigned store_writes_per_second = 200;     // budget shared by all journals

    bool operator==(const fleet_config&) const = default;
};

struct configuration
{
    config_version version;
    std::vector<applied_patch> patches; // the latest max_applied_patches, oldest first
    fleet_config fleet;
    std::vector<service_config> services; // sorted by name

    bool operator==(const configuration&) const = default;
};

constexpr std::size_t max_applied_patches = 128;
constexpr unsigned max_slots_per_server = 1024;
constexpr unsigned max_connections_per_server = 65536;
constexpr unsigned max_partitions = 4096;
constexpr duration max_request_limit = seconds(3600);
constexpr duration min_journal_retention = seconds(60);
constexpr duration max_journal_retention = seconds(30 * 24 * 3600);
constexpr unsigned max_store_writes_per_second = 100000;

// Returns the service of that name, or null. O(log n).
const service_config* find_service(const configuration& config, const service_name& name);

// Returns the server with that id, or null. O(log n).
const server_config* find_server(const service_config& service, const server_id& id);

// Checks the invariants. Fails with invalid_argument and a text that names the path and
// the rule of the first violation, as in "services.valves.slots_per_server: must be from
// 1 to 1024". O(n log n).
result<void> validate(const configuration& config);

} // namespace camphorrock
