#pragma once

// Majorities of voters. An empty set has no majority; an empty set of previous voters
// asks for nothing.

#include "core/ownership/shard_record.hpp"

#include <set>
#include <vector>

namespace camphorrock
{

// Are more than half of `voters` in `answered`?
bool is_majority(const std::vector<voter_entry>& voters,
                 const std::set<instance_id>& answered);

// A majority of the voters and, while they change, of the previous voters.
bool is_joint_majority(const std::vector<voter_entry>& voters,
                       const std::vector<voter_entry>& previous_voters,
                       const std::set<instance_id>& answered);

// The voters and previous voters of a record, each once.
std::vector<voter_entry> all_voters(const shard_record& record);

} // namespace camphorrock
