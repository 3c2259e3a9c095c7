#pragma once

// The server's side of ownership: tracks which partitions of one shard this server owns
// and decides whether a request with a given epoch may run.
//
//     server_reply reply = guard.grant(message, now);
//     if (guard.check(at, since, now) != guard_verdict::accepted) ... // don't run it
//
// `now` is the server's boot clock, which keeps running while the process is frozen.
//
// Invariants:
//   - a grant lapses at as_of + ttl of its message, however late the message arrives; a
//     clock reading from before the start of this process or from the future grants
//     nothing;
//   - for each hash only the highest epoch that was granted or revoked counts, and a
//     revoked epoch is not granted again.
// At max_partitions segments, the guard drops those that no message which is still valid
// could restore; if none can be dropped, it refuses further grants and revocations. Each
// call is O(log n) plus O(segments that the message overlaps).

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
    lapsed,      // the grant has expired
    revoked,     // the grant was revoked
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

    // Returns the answer to a clock message: the reading only.
    server_reply read_clock(time_point now) const;

    // Decides whether a request with epoch `since` for hash `at` may run now.
    guard_verdict check(key_hash at, epoch since, time_point now) const;

    // Returns the epoch whose requests are accepted now for `at`, or nullopt if this
    // server does not own it.
    std::optional<epoch> owner_epoch(key_hash at, time_point now) const;

private:
    struct segment
    {
        key_hash last;
        epoch highest_epoch;  // the highest epoch granted or revoked
        time_point lapses_at; // when the grant ends
        time_point forget_at; // from then on no message older than the segment is valid
        bool is_revoked = false;
    };

    using segment_map = std::map<key_hash, segment>; // by first hash, without overlaps

    bool grant_partition(const granted_partition& partition,
                         time_point lapses_at,
                         time_point now);
    bool revoke_partition(const granted_partition& partition, time_point now);
    bool make_room(time_point now);
    segment_map::iterator first_overlapping(const hash_range& range);
    bool overlaps(segment_map::iterator it, const hash_range& range) const;
    void split_at(key_hash first);
    void replace(const hash_range& range, const segment& replacement);
    const segment* find_segment(key_hash at) const;

    ownership_options options_;
    time_point started_at_;
    segment_map segments_;
};

} // namespace camphorrock
