// The part of request_relay that finds the owner of a request's key and waits for it.

#include "gateway/request_relay.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr unsigned max_refusals_to_retry = 1; // by one owner under one epoch
constexpr duration owner_retry_delay =
    milliseconds(100); // before an owner that refused the key is tried again
constexpr duration max_owner_wait = milliseconds(350);
constexpr int owner_wait_divisor = 3; // of the request's total time

} // namespace

// Empty while the key moves or is not assigned.
std::optional<request_relay::key_owner> request_relay::find_owner() const
{
    const assigned_key_range* range = context_.state.assignment().find(service_, *key_);
    if (range == nullptr || range->is_moving)
    {
        return std::nullopt;
    }
    return key_owner{range->owner, range->grant_epoch};
}

// Makes the owner of the key the only server that may be chosen, once its requests are
// known. Returns false if that has to be waited for, or if the request was answered.
bool request_relay::require_owner(server_criteria& criteria)
{
    const std::optional<key_owner> found = find_owner();
    if (!found || refusals_by(*found) > max_refusals_to_retry)
    {
        wait_for_owner();
        return false;
    }
    if (context_.state.is_closed_by_drain(found->server, true, context_.loop.now()))
    {
        on_no_choice(found->server);
        return false;
    }
    const service_state* service = context_.state.find_service(service_);
    if (service->pool.is_server_unreachable(found->server, context_.loop.now()))
    {
        sent_to_.server = found->server;
        go_by_peer(forward_reason::server_unreachable);
        return false;
    }
    if (!is_reserved_at(found->server))
    {
        reserve_at(found->server);
        return false;
    }
    sent_to_owner_ = *found;
    criteria.owner = found->server;
    criteria.owner_load = reservation_->other_requests;
    criteria.excluded.clear();
    return true;
}

// How often the owner refused the key under its present epoch.
unsigned request_relay::refusals_by(const key_owner& owner) const
{
    return refusal_ && refusal_->by == owner ? refusal_->count : 0;
}

// Claims the retry that an attempt after a refusal is. An owner that refused the key gets
// the request once more, as its grant may be on its way. Its address may belong to a
// server of another service by now, so that attempt counts against every budget.
bool request_relay::may_send_to_owner(const key_owner& owner)
{
    if (!refusal_)
    {
        return true;
    }
    const time_point now = context_.loop.now();
    if (refusals_by(owner) > 0)
    {
        return context_.state.try_spend_retry_at_all(now);
    }
    service_state* service = context_.state.find_service(service_);
    return service != nullptr && service->budget.try_spend_retry(now);
}

void request_relay::note_refusal()
{
    refusal_ = owner_refusal{sent_to_owner_, refusals_by(sent_to_owner_) + 1};
}

bool request_relay::is_reserved_at(const server_id& owner) const
{
    return reservation_ && reservation_->owner == owner && reservation_->is_answered;
}

// Goes on with on_reservation_reply(), or with try_send() if no gateway counts.
void request_relay::reserve_at(const server_id& owner)
{
    release_reservation();
    enter(request_phase::reservation_wait);
    reservation_ = owner_reservation{owner, {}, false, {}};
    if (context_.reservations != nullptr)
    {
        reservation_->held = context_.reservations->reserve(
            owner, in_this_phase(&request_relay::on_reservation_reply));
    }
    if (!reservation_->held)
    {
        reservation_->is_answered = true;
        try_send();
    }
}

// May be called within reserve(), before it returns the reservation.
void request_relay::on_reservation_reply(std::optional<unsigned> other_requests)
{
    reservation_->is_answered = true;
    reservation_->other_requests = other_requests;
    context_.loop.post(in_this_phase(&request_relay::try_send));
}

void request_relay::release_reservation()
{
    if (reservation_ && reservation_->held)
    {
        context_.reservations->release(*reservation_->held);
    }
    reservation_.reset();
}

// A key that moves is normally served again within this time: its old owner only has to
// finish its work on the key.
duration request_relay::owner_wait_limit() const
{
    const duration part = (deadline_ - arrived_) / owner_wait_divisor;
    return std::min<duration>(part, max_owner_wait);
}

// Waits until on_state_changed() finds a new owner of the key. Tries again after
// owner_retry_delay, and answers the request when the wait takes too long.
void request_relay::wait_for_owner()
{
    const time_point now = context_.loop.now();
    const time_point limit = arrived_ + owner_wait_limit();
    const bool is_stuck = context_.state.is_move_stuck(service_, *key_, now);
    if (now >= limit || is_stuck)
    {
        answer_locally(local_answer_reason::no_owner);
        return;
    }
    enter(request_phase::owner_wait);
    set_phase_timer(std::min<duration>(owner_retry_delay, limit - now),
                    &request_relay::try_send);
}

void request_relay::on_state_changed()
{
    switch (progress_.phase())
    {
    case request_phase::token_due_wait:
        return_outdated_token();
        break;
    case request_phase::owner_wait:
        try_new_owner();
        break;
    default:
        break;
    }
}

void request_relay::try_new_owner()
{
    const std::optional<key_owner> found = find_owner();
    const bool is_new = found && refusals_by(*found) == 0;
    if (is_new)
    {
        try_send();
    }
}

} // namespace camphorrock
