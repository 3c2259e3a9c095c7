#include "assigner/lease_keeper.hpp"

namespace camphorrock
{
namespace
{

constexpr int renewals_per_ttl = 4;

} // namespace

lease_keeper::lease_keeper(assigner_context& context, std::function<void()> on_lost)
    : context_(context), on_lost_(std::move(on_lost))
{
}

void lease_keeper::start()
{
    acquire();
    timer_ = context_.loop.every(context_.settings.lease_ttl / renewals_per_ttl,
                                 [this] { check_lease(); });
}

void lease_keeper::release(std::function<void()> done)
{
    is_released_ = true;
    store_lease released = lease_;
    drop_lease();
    if (released.value == 0)
    {
        context_.loop.post(std::move(done));
        return;
    }
    context_.store.revoke_lease(
        released, [done = std::move(done)](const store_lease_grant&) { done(); });
}

void lease_keeper::check_lease()
{
    bool is_expired = lease_.value != 0 && context_.loop.now() >= valid_until_;
    if (is_expired)
    {
        drop_lease();
    }
    if (has_pending_call_ || is_released_)
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
    has_pending_call_ = true;
    time_point sent_at = context_.loop.now();
    context_.store.grant_lease(context_.settings.lease_ttl,
                               [this, sent_at](const store_lease_grant& got)
                               {
                                   has_pending_call_ = false;
                                   if (got.end != store_end::done || is_released_)
                                   {
                                       return;
                                   }
                                   lease_ = got.lease;
                                   valid_until_ = sent_at + got.time_to_live;
                               });
}

void lease_keeper::renew()
{
    has_pending_call_ = true;
    time_point sent_at = context_.loop.now();
    store_lease renewed = lease_;
    context_.store.keep_alive(renewed,
                              [this, sent_at, renewed](const store_lease_grant& got)
                              {
                                  has_pending_call_ = false;
                                  // If the renewal failed, check_lease() drops the lease
                                  // when it expires.
                                  if (renewed == lease_ && got.end == store_end::done)
                                  {
                                      valid_until_ = sent_at + got.time_to_live;
                                  }
                              });
}

void lease_keeper::drop_lease()
{
    bool had_lease = lease_.value != 0;
    lease_ = {};
    if (had_lease)
    {
        on_lost_();
    }
}

} // namespace camphorrock
