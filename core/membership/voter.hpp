#pragma once

// A voter. For each shard, it votes on the lease of a router that has authority at some
// version of the shard's record, and after a fence denies its vote to lower versions. A
// router has authority while a majority of the voters grant their votes; see
// docs/DESIGN.md, "One owner".
//
//     voter.store_read(shard, version, begun_at, now);
//     voter_reply reply = voter.vote_on_lease(shard, version, now);
//
// Invariants:
//   - no reply for a shard is ok before a linearizable read of its record that began
//     after the start of this process, or once the last such read is older than
//     ownership_options::max_store_read_age;
//   - the fenced version never decreases.
//
// The program must read the records again well within max_store_read_age. Memory: a few
// words for each shard, at most max_shards. Each call is O(log shards).

#include "core/base/epoch.hpp"
#include "core/base/names.hpp"
#include "core/ownership/ownership_options.hpp"

#include <map>

namespace camphorrock
{

// The reply to vote_on_lease() or fence().
struct voter_reply
{
    bool is_ok = false;
    epoch highest; // version known here; a router with a lower one fetches the record
    duration fenced_for{}; // time since lower versions were first refused, on the voter's
                           // clock; set by fence() only
};

class voter
{
public:
    voter(ownership_options options, time_point started_at);

    // A linearizable read of the record that began at `begun_at` returned `version`; 0 if
    // there is no record. Ignored if the read began before the start of the process.
    void
    store_read(const shard_id& shard, epoch version, time_point begun_at, time_point now);

    // Grants the lease vote for `version` if this voter is ready and the fenced version
    // is not higher.
    voter_reply vote_on_lease(const shard_id& shard, epoch version, time_point now);

    // Refuses versions below `version` from now on. The reply is ok only if this voter is
    // ready: only then does it know the promises that it made before a restart.
    voter_reply fence(const shard_id& shard, epoch version, time_point now);

    // Returns whether a read of the shard's record since the start of the process is
    // recent enough to vote.
    bool is_ready(const shard_id& shard, time_point now) const;

private:
    struct shard_state
    {
        epoch fenced_version;
        time_point fenced_at; // when fenced_version was set
        epoch highest;
        bool has_store_read = false;
        time_point read_begun_at;
    };

    static void raise_fence(shard_state& state, epoch version, time_point now);
    bool is_current(const shard_state& state, time_point now) const;
    shard_state* find_or_add(const shard_id& shard);

    ownership_options options_;
    time_point started_at_;
    std::map<shard_id, shard_state> shards_;
};

} // namespace camphorrock
