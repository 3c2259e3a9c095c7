#pragma once

// What a router tells a shard's assigner, every report_period and when something changes.

#include "core/base/epoch.hpp"
#include "core/base/key_hash.hpp"
#include "core/base/names.hpp"
#include "core/ownership/grant_message.hpp"

#include <vector>

namespace camphorrock
{

enum class server_condition
{
    unknown, // no answer yet since this router became its scheduler
    alive,
    lost, // silent, or refusing connections, for the limit
};

// How a scheduler sees one of its servers.
struct server_observation
{
    server_id id;
    server_condition condition = server_condition::unknown;

    bool operator==(const server_observation&) const = default;
};

struct shard_report
{
    instance_id router;
    epoch version; // the highest record that the router acts on; 0: none yet
    bool is_leaving = false;
    std::vector<server_observation> servers; // those that the router schedules
    std::vector<granted_partition> released; // moving partitions whose owner holds
                                             // nothing any more
    bool operator==(const shard_report&) const = default;
};

} // namespace camphorrock
