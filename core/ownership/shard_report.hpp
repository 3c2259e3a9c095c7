#pragma once

// A router's report to a shard's assigner, sent every report_period and on each change.

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
    lost, // unresponsive, or refusing connections, for longer than the timeout
};

// The condition of a server as its scheduler observes it.
struct server_observation
{
    server_id id;
    server_condition condition = server_condition::unknown;

    bool operator==(const server_observation&) const = default;
};

struct shard_report
{
    instance_id router;
    epoch version; // of the record that the router acts on; 0 before the first
    bool is_leaving = false;
    std::vector<server_observation> servers; // those that the router schedules
    std::vector<granted_partition> released; // moving partitions that the old owner no
                                             // longer holds
    bool operator==(const shard_report&) const = default;
};

} // namespace camphorrock
