#pragma once

// The store leases to which a router's journal batches are attached, so that the store
// deletes old batches. A new lease is requested in every period. Each lease lasts for the
// retention time plus one period and is never renewed.

#include "router/router_context.hpp"

namespace camphorrock
{

class journal_lease
{
public:
    // `loop` and `store` must outlive the lease.
    journal_lease(event_loop& loop, store_client& store) : loop_(loop), store_(store) {}

    // Sets how long ids are remembered. A change requests a new lease.
    void set_retention(duration retention);

    // The lease for batches written now; 0 until the store has granted the first one.
    store_lease current() const
    {
        return lease_;
    }

private:
    void request_lease();
    duration replacement_period() const;

    event_loop& loop_;
    store_client& store_;
    duration retention_{};
    store_lease lease_;
    timer_handle timer_;
};

} // namespace camphorrock
