#pragma once

// Competes for the lease key of one shard: creates the key, attached to this process's
// lease, if it is absent. The store deletes the key when the holder's lease ends.
//
// The value of the key names the holder and its lease, such as "a1 4711". A key with this
// process's id but an earlier lease does not count as held: the store deletes it when
// that lease ends.

#include "assigner/assigner_context.hpp"
#include "assigner/lease_keeper.hpp"

#include <functional>

namespace camphorrock
{

class shard_election
{
public:
    // Calls `on_changed(true)` when this process has acquired the key, and
    // `on_changed(false)` when it no longer holds the key.
    shard_election(assigner_context& context,
                   lease_keeper& lease,
                   shard_id shard,
                   std::function<void(bool)> on_changed);

    // Tries to create the key if this process has a lease, is a candidate and does not
    // hold the key, and if no attempt or pause is in progress. Called periodically and
    // when the key was deleted.
    void attempt();

    // This process has lost its lease, and with it the key.
    void lease_lost();

    // A watch reported that the key was deleted.
    void key_deleted();

    // Releases the key and makes no attempt for `pause`.
    void resign(duration pause);

    // Releases the key and makes no further attempt.
    void withdraw();

    // Allows attempts again after withdraw().
    void rejoin()
    {
        is_candidate_ = true;
    }

    bool is_held() const
    {
        return is_held_;
    }

    // The holder that an attempt found last; empty if none was found since this process
    // last acquired the key.
    const instance_id& holder() const
    {
        return holder_;
    }

private:
    void attempt_ended(store_lease lease, const store_write& got);
    std::string key_value(store_lease lease) const;
    void set_held(bool is_held);
    void release_key();

    assigner_context& context_;
    lease_keeper& lease_;
    shard_id shard_;
    std::function<void(bool)> on_changed_;
    bool is_held_ = false;
    bool has_pending_call_ = false;
    bool is_candidate_ = true;
    store_revision revision_; // of the key that this process holds
    instance_id holder_;
    time_point next_attempt_at_; // no attempt before this time
};

} // namespace camphorrock
