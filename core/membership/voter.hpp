#pragma once

// A voter answers, for each shard, whether a router's authority at some version of the
// record may go on, and refuses lower versions after a fence. A majority of answers is
// the authority; see docs/DESIGN.md, "One owner".
//
//     voter.store_read(shard, version, begun_at, now);
//     vouch_reply reply = voter.vouch(shard, version, now);
//
// Invariants:
//   - nothing is answered with ok for a shard before a linearizable read of its record
//     that began after the start of this process, or when the last such read is older
//     than voter_store_limit;
//   - the fenced version never falls.
// State is a few words for each shard, at most max_shards; O(log n) a call. The program
// reads the records again well within voter_store_limit.

#include "core/base/epoch.hpp"
#include "core/base/names.hpp"
#include "core/ownership/ownership_options.hpp"

#include <map>

namespace camphorrock
{

// The answer to a vouch or a fence.
struct voter_reply
{
    bool is_ok = false;
    epoch highest; // the highest version known here; a router below it fetches the record
    duration fenced_for{}; // for how long, on this clock, lower versions were refused
};

class voter
{
public:
    voter(ownership_options options, time_point started_at);

    // A linearizable read of the record, begun at `begun_at`, showed `version` (0:
    // absent).
    void
    store_read(const shard_id& shard, epoch version, time_point begun_at, time_point now);

    // May authority at `version` go on?
    voter_reply vouch(const shard_id& shard, epoch version, time_point now);

    // Refuse versions below `version` from now on. ok only where this voter is ready, so
    // that what it promised before a restart is known.
    voter_reply fence(const shard_id& shard, epoch version, time_point now);

    bool is_ready(const shard_id& shard, time_point now) const;

private:
    struct shard_state
    {
        epoch fenced;
        time_point fenced_at; // of that version
        epoch highest;
        bool has_read = false;
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
