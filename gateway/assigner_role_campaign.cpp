// The election of the assigner: how the role is won, kept and handed over.

#include "codec/key_messages.hpp"
#include "gateway/assigner_role.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr duration renew_period = milliseconds(400);
constexpr duration retry_pause = milliseconds(200);
// For the last holder of the role to ask for it again, once the era of the store changed.
constexpr duration reclaim_time = seconds(1);
// Campaigns are spread over this time for each gateway of the fleet, so that few
// campaign before they hear of the first one's success.
constexpr duration campaign_spread_per_gateway = milliseconds(8);
constexpr duration min_campaign_spread = milliseconds(120);
constexpr duration max_campaign_spread = milliseconds(1500);
// While the fleet is not known: the first of many is early, and one of few not late.
constexpr duration first_campaign_spread = milliseconds(300);
// So that stronger gateways campaign first.
constexpr duration weaker_gateway_delay = milliseconds(200);
// While the fleet is not known: of a gateway with hardly any processor time. One with a
// whole core has no delay.
constexpr duration unknown_fleet_delay = milliseconds(300);

} // namespace

void assigner_role::on_holder_read(const std::vector<store_entry>& entries)
{
    if (entries.empty())
    {
        on_no_holder();
        return;
    }
    set_holder(entries.front());
}

void assigner_role::on_holder_changed(const std::vector<store_entry>& changes)
{
    const store_entry& last = changes.back();
    if (last.revision.value == 0)
    {
        on_no_holder();
        return;
    }
    set_holder(last);
}

void assigner_role::set_holder(const store_entry& entry)
{
    const assigner_holder read =
        value_or_handle([&] { return parse_assigner_holder(entry.value); },
                        [](const error&) { return assigner_holder(); });
    campaign_timer_.reset();
    holder_ = read.peer;
    holder_revision_ = entry.revision;
    const bool is_other = read.id != context_.state.settings().id;
    if (is_other)
    {
        last_holder_ = read.peer;
        is_elected_ = false;
        resign("another gateway holds the role");
    }
    on_holder_();
}

void assigner_role::on_no_holder()
{
    const time_point now = context_.loop.now();
    // What was read just after the store came back may be older than the reclaimed role.
    const bool may_be_older = era_changed_at_ && now - *era_changed_at_ < reclaim_time &&
                              (is_elected_ || is_reclaiming_);
    if (may_be_older)
    {
        return;
    }
    holder_.reset();
    if (is_elected_)
    {
        is_elected_ = false;
        resign("the lease has ended");
    }
    on_holder_();
    schedule_campaign();
}

void assigner_role::schedule_campaign()
{
    if (is_shut_down_ || is_campaigning_ || holder_ || is_cut_off())
    {
        return;
    }
    const auto draw = static_cast<duration::rep>(context_.state.random()());
    const duration spread(draw % campaign_spread().count());
    campaign_timer_ =
        context_.loop.after(spread + campaign_delay(), [this] { campaign(); });
}

// A weak gateway would soon have to hand the role over. After the store came back from a
// copy, the last holder of the role comes first.
duration assigner_role::campaign_delay() const
{
    const bool is_era_new =
        era_changed_at_ && context_.loop.now() - *era_changed_at_ < reclaim_time;
    if (is_era_new)
    {
        return reclaim_time;
    }
    if (context_.state.gateways().empty())
    {
        const unsigned percent =
            std::min(context_.state.settings().processor_percent, 100U);
        return unknown_fleet_delay * (100 - percent) / 100;
    }
    return context_.state.has_stronger_gateway() ? weaker_gateway_delay
                                                 : duration::zero();
}

duration assigner_role::campaign_spread() const
{
    const auto gateways = static_cast<int>(context_.state.gateways().size());
    if (gateways == 0)
    {
        return first_campaign_spread;
    }
    return std::clamp<duration>(
        campaign_spread_per_gateway * gateways, min_campaign_spread, max_campaign_spread);
}

void assigner_role::campaign()
{
    campaign_timer_.reset();
    if (is_shut_down_ || is_campaigning_ || holder_ || is_cut_off() ||
        !holder_reader_->has_snapshot())
    {
        return;
    }
    is_campaigning_ = true;
    lease_call_sent_at_ = context_.loop.now();
    context_.store.grant_lease(
        key_assigner_options().authority_ttl,
        [this, alive = std::weak_ptr<const bool>(alive_)](const store_lease_grant& got)
        {
            if (!alive.expired())
            {
                on_lease_granted(got);
            }
        });
}

void assigner_role::abandon_campaign()
{
    is_campaigning_ = false;
    retry_timer_ = context_.loop.after(retry_pause, [this] { schedule_campaign(); });
}

void assigner_role::on_lease_granted(const store_lease_grant& got)
{
    if (got.end != store_end::done || holder_ || is_shut_down_)
    {
        abandon_campaign();
        return;
    }
    lease_ = got.lease;
    const gateway_settings& settings = context_.state.settings();
    context_.store.compare_and_swap(
        holder_key,
        store_revision{},
        assigner_holder_text({settings.id, settings.peer}),
        lease_,
        [this, alive = std::weak_ptr<const bool>(alive_)](const store_write& got)
        {
            if (!alive.expired())
            {
                on_holder_write(got);
            }
        });
}

void assigner_role::on_holder_write(const store_write& got)
{
    if (got.end == store_end::done)
    {
        on_elected();
        return;
    }
    if (got.end == store_end::unknown)
    {
        read_back_holder();
        return;
    }
    abandon_campaign();
}

// The write may have created the key. If so, the key has this gateway's lease, which no
// other gateway has.
void assigner_role::read_back_holder()
{
    context_.store.get(
        holder_key,
        [this, alive = std::weak_ptr<const bool>(alive_)](const store_read& got)
        {
            if (alive.expired())
            {
                return;
            }
            if (got.end != store_end::done)
            {
                abandon_campaign();
                return;
            }
            const bool is_own_key =
                !got.entries.empty() &&
                got.entries.front().value ==
                    assigner_holder_text(
                        {context_.state.settings().id, context_.state.settings().peer});
            if (is_own_key)
            {
                on_elected();
                return;
            }
            abandon_campaign();
        });
}

void assigner_role::on_elected()
{
    is_campaigning_ = false;
    is_elected_ = true;
    holder_ = context_.state.settings().peer;
    on_holder_();
    if (is_cut_off())
    {
        check_hand_over();
        return;
    }
    renew_timer_ = context_.loop.every(renew_period, [this] { renew_lease(); });
    context_.store.get(
        bound_key,
        [this, alive = std::weak_ptr<const bool>(alive_)](const store_read& got)
        {
            if (!alive.expired())
            {
                on_bound_read(got);
            }
        });
}

// The role is resigned only when the watch of the holder key reports that the store has
// ended the lease: while the store does not answer, no other gateway could be elected.
void assigner_role::check_hand_over()
{
    if (!is_elected_)
    {
        return;
    }
    if (is_cut_off())
    {
        hand_over("no server can be reached from here");
    }
    else if (context_.state.has_stronger_gateway())
    {
        hand_over("a gateway with more processor time is known");
    }
}

void assigner_role::hand_over(const char* reason)
{
    context_.log.events().write(event_id::keys_handed_over, {{"reason", reason}});
    has_revoked_lease_ = true;
    context_.store.revoke_lease(lease_, [](const store_lease_grant&) {});
}

bool assigner_role::is_cut_off() const
{
    return context_.links != nullptr && context_.links->state() == link_state::lost;
}

void assigner_role::on_links_changed()
{
    if (is_cut_off())
    {
        check_hand_over();
        return;
    }
    schedule_campaign();
}

} // namespace camphorrock
