#pragma once

// The part of the history check that finds two owners of one hash.

#include "codec/history.hpp"
#include "load/violation.hpp"

#include <map>
#include <string>
#include <vector>

namespace camphorrock
{

// A span in which a server owned a partition by its grants; `until` is not part of it.
struct ownership_span
{
    history_time from = 0;
    history_time until = 0;
    server_id server;
    shard_id shard;
    hash_range partition;
    epoch since;
};

// Joins each server's grants and renewals of one partition and epoch to spans, cut short
// by revocations and by other epochs of the same server.
std::vector<ownership_span> ownership_spans(const std::vector<grant_record>& grants,
                                            const std::vector<revoke_record>& revokes);

// Spans of different servers that overlap in time and hashes.
std::vector<violation> find_two_owners(const std::vector<ownership_span>& spans);

// Runs of a server that checks epochs outside its spans.
std::vector<violation> find_runs_not_owned(const std::vector<run_start_record>& runs,
                                           const std::vector<ownership_span>& spans);

// A server that checks epochs acts as owner while its grant holds, and one that does not
// check them while it runs a request. So there are two owners where a run of a server
// without the check overlaps with a grant of one that has it, `ends` being keyed by run:
std::vector<violation>
find_runs_beside_owner(const std::vector<run_start_record>& runs,
                       const std::map<std::string, history_time>& ends,
                       const std::vector<ownership_span>& spans);

// or where runs of one hash overlap on two servers without the check.
std::vector<violation>
find_overlapping_runs(const std::vector<run_start_record>& runs,
                      const std::map<std::string, history_time>& ends);

} // namespace camphorrock
