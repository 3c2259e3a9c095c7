#pragma once

// Choices of a place: a server for a partition, a router for a server, routers as voters.
// Pure functions; ties go to the lowest name, so that each assigner chooses alike.

#include "core/assignment/service_view.hpp"
#include "core/ownership/shard_record.hpp"

#include <optional>
#include <set>
#include <vector>

namespace camphorrock
{

// Of `candidates`, the server that owns or will own the least of the key space; none of
// an empty list. O(partitions + candidates).
std::optional<server_id> least_loaded(const shard_record& record,
                                      const std::set<server_id>& candidates);

// How many partitions the server owns or will own.
std::size_t partitions_of(const shard_record& record, const server_id& id);

// How many servers the router schedules.
std::size_t servers_of(const shard_record& record, const instance_id& id);

// A scheduler for a server in `zone`: the router that schedules the fewest servers, one
// of the same data centre before others.
std::optional<router_instance>
choose_scheduler(const shard_record& record,
                 const data_centre& zone,
                 const std::vector<router_instance>& routers);

// Keeps `kept` and adds routers, from the data centre with the fewest voters first, up to
// an odd number of at most `limit`.
std::vector<voter_entry> choose_voters(const std::vector<router_instance>& kept,
                                       const std::vector<router_instance>& routers,
                                       std::size_t limit);

// `count` ranges of equal width that cover the key space; at least one.
std::vector<hash_range> equal_ranges(std::size_t count);

} // namespace camphorrock
