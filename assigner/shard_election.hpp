#pragma once

// Competes for the lease key of one shard: creates it, attached to this process's lease,
// where it is absent. The key goes when the holder's lease ends.
//
// The key's value names the holder and its lease, "a1 4711". A key of this process's id
// but of an earlier lease is not ours: it goes when that lease ends.

#include "assigner/assigner_parts.hpp"
#include "assigner/lease_keeper.hpp"

#include <functional>

namespace camphorrock
{

class shard_election
{
public:
    // `changed(true)` is called when the key is ours, `changed(false)` when it is no
    // more.
    shard_election(assigner_parts& parts,
                   lease_keeper& lease,
                   shard_id shard,
                   std::function<void(bool)> changed);

    // Tries where the key may be free. Called periodically and when the key is seen to
    // go.
    void attempt();

    // Our lease ended.
    void lease_lost();

    // The key was seen to go.
    void key_gone();

    // Gives the key up, and stays out of the next elections for `pause`.
    void resign(duration pause);

    // Gives the key up and tries no more.
    void stand_down();

    // Tries again after stand_down().
    void stand_again()
    {
        is_candidate_ = true;
    }

    bool is_held() const
    {
        return is_held_;
    }

    // Who was seen to hold the key last; none where it is us or nobody.
    const instance_id& holder() const
    {
        return holder_;
    }

private:
    void ended(store_lease lease, const store_write& got);
    std::string value_of(store_lease lease) const;
    void set_held(bool is_held);
    void give_up();

    assigner_parts& parts_;
    lease_keeper& lease_;
    shard_id shard_;
    std::function<void(bool)> changed_;
    bool is_held_ = false;
    bool is_calling_ = false;
    bool is_candidate_ = true;
    store_revision revision_;
    instance_id holder_;
    time_point not_before_;
};

} // namespace camphorrock
