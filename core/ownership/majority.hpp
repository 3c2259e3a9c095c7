#pragma once

// Majorities of voters. An empty set of voters has no majority; an empty set of previous
// voters adds no condition.

#include "core/ownership/shard_record.hpp"

#include <set>
#include <vector>

namespace camphorrock
{

// Returns whether more than half of `voters` are in `answered`.
bool is_majority(const std::vector<voter_entry>& voters,
                 const std::set<instance_id>& answered);

// Returns whether `answered` holds a majority of the voters and, during a change of
// voters, also of the previous voters.
bool is_joint_majority(const std::vector<voter_entry>& voters,
                       const std::vector<voter_entry>& previous_voters,
                       const std::set<instance_id>& answered);

// Returns the voters and previous voters of a record without duplicates. O(n * m).
std::vector<voter_entry> all_voters(const shard_record& record);

} // namespace camphorrock
