#pragma once

// The server's side of ownership: which partitions this server owns now, and whether a
// request of some epoch may run. One guard stands for one shard.
//
//     server_reply reply = guard.grant(message, now);
//     if (guard.check(at, since, now) != guard_verdict::accepted) ... // refuse: not run
//
// `now` is the server's boot clock, which goes on while the process is frozen.
//
// Invariants:
//   - a grant lapses at as_of + ttl of its message, however late the message arrives; a
//     reading from before the start of this process or from the future gives no grant;
//   - for each hash only the highest epoch that was granted or revoked counts, and a
//     revoked epoch is not granted again.
// Where max_partitions ranges are known, those are forgotten which no message that is
// still valid could bring back; where all are live, further grants are refused. Each call
// is O(log n) and O(ranges touched).

#include "core/ownership/grant_message.hpp"
#include "core/ownership/ownership_options.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace camphorrock
{

enum class guard_verdict
{
    accepted,
    no_grant,    // nothing was granted for this hash, or only a lower epoch
    lapsed,      // the grant ran out
    revoked,     // the grant was taken back
    stale_epoch, // a higher epoch is known
};

// "accepted", "no-grant", "lapsed", "revoked", "stale-epoch".
std::string_view name_of(guard_verdict value);

class grant_guard
{
public:
    grant_guard(ownership_options options, time_point started_at);

    server_reply grant(const grant_message& message, time_point now);
    server_reply revoke(const revoke_message& message, time_point now);

    // The answer to a clock message.
    server_reply read_clock(time_point now) const;

    // May a request of this epoch run now?
    guard_verdict check(key_hash at, epoch since, time_point now) const;

    // The epoch of which a request would be accepted now; none: this server is no owner.
    std::optional<epoch> owner_epoch(key_hash at, time_point now) const;

private:
    struct segment
    {
        key_hash last;
        epoch highest;        // granted or revoked
        time_point lapses_at; // of the grant
        time_point forget_at; // no older message counts after this
        bool is_revoked = false;
    };

    using segment_map = std::map<key_hash, segment>; // by first hash, no overlaps

    bool
    grant_one(const granted_partition& partition, time_point lapses_at, time_point now);
    bool revoke_one(const granted_partition& partition, time_point now);
    bool make_room(time_point now);
    segment_map::iterator first_touched(const hash_range& range);
    bool touches(segment_map::iterator it, const hash_range& range) const;
    void cut_at(key_hash first);
    void replace(const hash_range& range, const segment& with);
    const segment* find(key_hash at) const;

    ownership_options options_;
    time_point started_at_;
    segment_map segments_;
};

} // namespace camphorrock
