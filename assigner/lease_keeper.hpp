#pragma once

// Keeps this process's one lease in the store, to which the lease keys of all its shards
// are attached: one renewal carries them all. The lease counts from the sending of the
// last renewal that was answered, so it never seems to last longer here than in the
// store.

#include "assigner/assigner_parts.hpp"

#include <functional>

namespace camphorrock
{

class lease_keeper
{
public:
    // `lost` is called when a lease that was held has ended or can no longer be relied
    // on.
    lease_keeper(assigner_parts& parts, std::function<void()> lost);

    void start();

    // The lease, or none (0).
    store_lease current() const
    {
        return lease_;
    }

    // Gives the lease up, so that others take the shards at once; then calls back.
    void release(std::function<void()> done);

private:
    void tick();
    void acquire();
    void renew();
    void drop();

    assigner_parts& parts_;
    std::function<void()> lost_;
    store_lease lease_;
    time_point valid_until_;
    bool is_calling_ = false;
    bool is_released_ = false;
    timer_handle timer_;
};

} // namespace camphorrock
