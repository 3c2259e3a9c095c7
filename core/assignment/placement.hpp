#pragma once

// Chooses an owner for a partition, a scheduler for a server, and voters. Pure functions;
// ties go to the lowest name, so that all assigners make the same choice.

#include "core/assignment/service_view.hpp"
#include "core/ownership/shard_record.hpp"

#include <optional>
#include <set>
#include <vector>

namespace camphorrock
{

// Of `candidates`, the server that owns or is about to own the smallest part of the key
// space; nullopt if there are no candidates. O(partitions + candidates).
std::optional<server_id> choose_owner(const shard_record& record,
                                      const std::set<server_id>& candidates);

// The number of partitions that the server owns or is about to own. A moving partition
// counts for its new owner only.
std::size_t count_partitions(const shard_record& record, const server_id& id);

// The number of servers that the router schedules.
std::size_t count_servers(const shard_record& record, const instance_id& id);

// The scheduler for a server in `zone`: the router that schedules the fewest servers, and
// among equals one in the same data centre. Returns nullopt if there are no routers.
std::optional<router_instance>
choose_scheduler(const shard_record& record,
                 const data_centre& zone,
                 const std::vector<router_instance>& routers);

// Returns `kept` and, up to an odd total of at most `limit`, more of `routers`: each time
// one from the data centre with the fewest voters so far.
std::vector<voter_entry> choose_voters(const std::vector<router_instance>& kept,
                                       const std::vector<router_instance>& routers,
                                       std::size_t limit);

// Divides the key space into `count` ranges of equal width, at least one. The last range
// also takes the remainder.
std::vector<hash_range> equal_ranges(std::size_t count);

} // namespace camphorrock
