// How the holder of the assigner's role asks for it again when the store came back from a
// copy.

#include "codec/key_messages.hpp"
#include "gateway/assigner_role.hpp"

namespace camphorrock
{
namespace
{

constexpr duration reclaim_retry_pause = milliseconds(100);

} // namespace

// What the store acknowledged lately may be gone: the lease, the holder key, the record.
void assigner_role::on_era_changed()
{
    era_changed_at_ = context_.loop.now();
    const bool was_holder = is_elected_ || is_reclaiming_;
    is_elected_ = false;
    record_in_flight_.reset();
    renew_timer_.reset();
    renewal_retry_timer_.reset();
    if (assigner_ == nullptr || !was_holder)
    {
        resign("the store came back from a copy");
        return;
    }
    is_reclaiming_ = true;
    assigner_->lease_renewal_failed(context_.loop.now()); // so that nothing moves
    reclaim();
}

void assigner_role::reclaim()
{
    if (!is_reclaiming_)
    {
        return;
    }
    if (is_shut_down_ || !assigner_->has_authority(context_.loop.now()))
    {
        resign("the store came back from a copy");
        on_no_holder();
        return;
    }
    lease_call_sent_at_ = context_.loop.now();
    const unsigned round = ++reclaim_round_;
    context_.store.grant_lease(key_assigner_options().authority_ttl,
                               [this, round, alive = std::weak_ptr<const bool>(alive_)](
                                   const store_lease_grant& got)
                               {
                                   if (!alive.expired() && is_current_reclaim(round))
                                   {
                                       on_reclaim_lease(got);
                                   }
                               });
}

void assigner_role::retry_reclaim()
{
    retry_timer_ = context_.loop.after(reclaim_retry_pause, [this] { reclaim(); });
}

void assigner_role::on_reclaim_lease(const store_lease_grant& got)
{
    if (got.end != store_end::done)
    {
        retry_reclaim();
        return;
    }
    lease_ = got.lease;
    context_.store.get(holder_key,
                       [this,
                        round = reclaim_round_,
                        alive = std::weak_ptr<const bool>(alive_)](const store_read& got)
                       {
                           if (!alive.expired() && is_current_reclaim(round))
                           {
                               on_reclaim_holder(got);
                           }
                       });
}

// Replaces this gateway's own holder key, which the copy may have, with one of the new
// lease.
void assigner_role::on_reclaim_holder(const store_read& got)
{
    const gateway_settings& settings = context_.state.settings();
    const std::string own = assigner_holder_text({settings.id, settings.peer});
    const bool is_absent = got.entries.empty();
    if (got.end == store_end::done && !is_absent && got.entries.front().value != own)
    {
        set_holder(got.entries.front());
        return;
    }
    if (got.end != store_end::done)
    {
        retry_reclaim();
        return;
    }
    context_.store.compare_and_swap(
        holder_key,
        is_absent ? store_revision{} : got.entries.front().revision,
        own,
        lease_,
        [this, round = reclaim_round_, alive = std::weak_ptr<const bool>(alive_)](
            const store_write& written)
        {
            if (alive.expired() || !is_current_reclaim(round))
            {
                return;
            }
            if (written.end != store_end::done)
            {
                retry_reclaim();
                return;
            }
            is_reclaiming_ = false;
            on_elected();
        });
}

} // namespace camphorrock
