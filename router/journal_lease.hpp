#pragma once

// The store leases to which a router's journal batches are attached, so that old batches
// go by themselves. A new lease is taken from time to time; each lives for the retention
// time and one period more, and is never renewed.

#include "router/router_parts.hpp"

namespace camphorrock
{

class journal_lease
{
public:
    // `loop` and `store` must outlive the lease.
    journal_lease(event_loop& loop, store_client& store) : loop_(loop), store_(store) {}

    // Ids are to be remembered for this long; the first call takes a lease.
    void set_retention(duration retention);

    // The lease for batches written now; none (0) before the store gave one.
    store_lease current() const
    {
        return lease_;
    }

private:
    void take();
    duration period() const;

    event_loop& loop_;
    store_client& store_;
    duration retention_{};
    store_lease lease_;
    timer_handle timer_;
};

} // namespace camphorrock
