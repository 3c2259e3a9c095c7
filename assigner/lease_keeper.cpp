#include "assigner/lease_keeper.hpp"

namespace camphorrock
{
namespace
{

constexpr int renewals_per_ttl = 4;

} // namespace

lease_keeper::lease_keeper(assigner_parts& parts, std::function<void()> lost)
    : parts_(parts), lost_(std::move(lost))
{
}

void lease_keeper::start()
{
    acquire();
    timer_ = parts_.loop.every(parts_.settings.lease_ttl / renewals_per_ttl,
                               [this] { tick(); });
}

void lease_keeper::release(std::function<void()> done)
{
    is_released_ = true;
    store_lease held = lease_;
    drop();
    if (held.value == 0)
    {
        parts_.loop.post(std::move(done));
        return;
    }
    parts_.store.revoke_lease(
        held, [done = std::move(done)](const store_lease_grant&) { done(); });
}

void lease_keeper::tick()
{
    bool is_lapsed = lease_.value != 0 && parts_.loop.now() >= valid_until_;
    if (is_lapsed)
    {
        drop();
    }
    if (is_calling_ || is_released_)
    {
        return;
    }
    if (lease_.value == 0)
    {
        acquire();
        return;
    }
    renew();
}

void lease_keeper::acquire()
{
    is_calling_ = true;
    time_point sent = parts_.loop.now();
    parts_.store.grant_lease(parts_.settings.lease_ttl,
                             [this, sent](const store_lease_grant& got)
                             {
                                 is_calling_ = false;
                                 if (got.end != store_end::done || is_released_)
                                 {
                                     return;
                                 }
                                 lease_ = got.lease;
                                 valid_until_ = sent + got.time_to_live;
                             });
}

void lease_keeper::renew()
{
    is_calling_ = true;
    time_point sent = parts_.loop.now();
    store_lease renewed = lease_;
    parts_.store.keep_alive(renewed,
                            [this, sent, renewed](const store_lease_grant& got)
                            {
                                is_calling_ = false;
                                // Without a renewal the lease is dropped when it lapses.
                                if (renewed == lease_ && got.end == store_end::done)
                                {
                                    valid_until_ = sent + got.time_to_live;
                                }
                            });
}

void lease_keeper::drop()
{
    bool was_held = lease_.value != 0;
    lease_ = {};
    if (was_held)
    {
        lost_();
    }
}

} // namespace camphorrock
