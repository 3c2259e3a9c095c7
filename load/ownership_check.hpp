#pragma once

// Finds violations in a history that concern the ownership of partitions: two owners of
// one hash at a time, and runs outside a grant.

#include "codec/history.hpp"
#include "load/violation.hpp"

#include <map>
#include <string>
#include <vector>

namespace camphorrock
{

// A server owned a partition by its grants from `from` until before `until`.
struct ownership_span
{
    history_time from = 0;
    history_time until = 0;
    server_id server;
    shard_id shard;
    hash_range partition;
    epoch grant_epoch;
};

// Merges each server's grants and renewals of one partition and epoch into spans. A
// revocation ends the span of its partition, for its epoch and lower ones.
std::vector<ownership_span> ownership_spans(const std::vector<grant_record>& grants,
                                            const std::vector<revoke_record>& revokes);

// Finds spans of different servers in one shard that overlap in time and hashes.
std::vector<violation> find_two_owners(const std::vector<ownership_span>& spans);

// Finds runs that a server which checks epochs began outside its spans of the run's
// partition and epoch.
std::vector<violation> find_runs_not_owned(const std::vector<run_start_record>& runs,
                                           const std::vector<ownership_span>& spans);

// A server that checks epochs is an owner while its grant holds. A server that does not
// check them is an owner while it runs a request. The two functions below find two owners
// of a hash in these cases; `ends` has the end time of each run by its name.

// Finds runs of a server without the check during a grant of another server that has it.
std::vector<violation>
find_unchecked_runs_during_grants(const std::vector<run_start_record>& runs,
                                  const std::map<std::string, history_time>& ends,
                                  const std::vector<ownership_span>& spans);

// Finds runs of one hash that overlap in time on two servers without the check.
std::vector<violation>
find_overlapping_unchecked_runs(const std::vector<run_start_record>& runs,
                                const std::map<std::string, history_time>& ends);

} // namespace camphorrock
