#pragma once

// Acquires and renews this process's single lease in the store. The lease keys of all its
// shards are attached to this lease, so one renewal extends them all. The time to live
// is counted from when the last answered renewal was sent, so the lease never lasts
// longer in this process than in the store.

#include "assigner/assigner_context.hpp"

#include <functional>

namespace camphorrock
{

class lease_keeper
{
public:
    // `on_lost` is called when the lease is released, and when it has not been renewed in
    // time and so may have expired in the store.
    lease_keeper(assigner_context& context, std::function<void()> on_lost);

    void start();

    // The current lease; 0 if there is none.
    store_lease current() const
    {
        return lease_;
    }

    // Revokes the lease, so that other assigners can acquire the shards at once, and then
    // calls `done`. No lease is acquired afterwards.
    void release(std::function<void()> done);

private:
    void check_lease();
    void acquire();
    void renew();
    void drop_lease(); // does not revoke it in the store

    assigner_context& context_;
    std::function<void()> on_lost_;
    store_lease lease_;
    time_point valid_until_; // of lease_
    bool has_pending_call_ = false;
    bool is_released_ = false;
    timer_handle timer_;
};

} // namespace camphorrock
