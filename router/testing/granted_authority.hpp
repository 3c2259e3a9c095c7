#pragma once

// The authority of a router that schedules the only server of a shard, as it is once all
// its votes and grants were accepted.

#include "core/ownership/scheduler_authority.hpp"
#include "router/testing/context_fixture.hpp"

#include <utility>

namespace camphorrock::testing
{

inline const server_id owner("s1");
inline constexpr key_hash asked_hash{5};
inline constexpr epoch since{1};

inline shard_record record_of(const server_entry& server)
{
    shard_record made;
    made.shard = shard_id("diary");
    made.version = since;
    made.partitions = {{hash_range(), owner, since, {}}};
    made.servers = {server};
    made.voters = {{instance_id("r1"), endpoint("127.0.0.1:1")}};
    return made;
}

class granted_authority
{
public:
    granted_authority(const endpoint& address, bool checks_epoch, time_point now)
        : authority(shard_id("diary"),
                    instance_id("r1"),
                    long_ttl_ownership(),
                    now - seconds(3600))
    {
        record = record_of({owner,
                            address,
                            checks_epoch,
                            instance_id("r1"),
                            endpoint("127.0.0.1:1"),
                            since});
        scheduler_actions actions;
        authority.store_read(record, now - seconds(1), now, actions);
        constexpr int rounds = 4; // for the lease vote, the server's clock and the grant
        for (int n = 0; n < rounds; ++n)
        {
            answer(std::exchange(actions, {}), now, actions);
            authority.tick(now, actions);
        }
    }

    // Adopts a record in which the partition moves, and returns the actions after the
    // drain limit has passed, by which requests in flight at a server that checks epochs
    // end.
    scheduler_actions start_move(time_point now)
    {
        record.version = {2};
        record.partitions.front().moving_to = server_id("s2");
        scheduler_actions actions;
        authority.store_read(record, now, now, actions);
        authority.tick(now + ownership_options().drain_limit, actions);
        return actions;
    }

    scheduler_authority authority;
    shard_record record;

private:
    void
    answer(const scheduler_actions& requested, time_point now, scheduler_actions& out)
    {
        server_reply reply;
        reply.clock = {std::chrono::duration_cast<milliseconds>(now.time_since_epoch())};
        for (const scheduler_action& it : requested)
        {
            if (const auto* vote = std::get_if<request_lease_vote>(&it))
            {
                authority.lease_vote_answered(
                    vote->to.id, vote->round, true, since, now, out);
            }
            if (const auto* clock = std::get_if<send_clock>(&it))
            {
                authority.server_answered(owner, clock->exchange, reply, now, out);
            }
            if (const auto* grant = std::get_if<send_grant>(&it))
            {
                reply.accepted = grant->message.partitions;
                authority.server_answered(owner, grant->exchange, reply, now, out);
            }
        }
    }
};

} // namespace camphorrock::testing
