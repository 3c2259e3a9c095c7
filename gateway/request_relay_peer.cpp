// The part of request_relay for requests that go by another gateway, since this one
// cannot reach their servers, and for those that another gateway has forwarded here.

#include "gateway/request_relay.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration connect_timeout = milliseconds(100);
// While most gateways are cut off, several may decline before one takes the request on.
constexpr std::size_t max_tried_peers = 6;

peer_end peer_end_of(forward_end how, exchange_end end)
{
    if (end != exchange_end::answered)
    {
        return peer_end::lost;
    }
    return is_declined(how) ? peer_end::declined : peer_end::taken;
}

} // namespace

bool request_relay::is_cut_off() const
{
    return context_.links != nullptr && context_.links->state() == link_state::lost;
}

// Goes on with try_send() as soon as it is known whether servers can be reached.
void request_relay::wait_for_links()
{
    enter(request_phase::links_wait);
    context_.links->when_known(in_this_phase(&request_relay::on_links_known));
}

void request_relay::on_links_known(link_state)
{
    try_send();
}

bool request_relay::may_go_by_peer() const
{
    const bool is_safe = route_.is_repeatable || !may_have_run_;
    return context_.peers != nullptr && !forwarded_ && is_safe &&
           possible_runs_ < route_.max_attempts &&
           tried_peers_.size() < max_tried_peers && time_left() > duration::zero() &&
           is_forwardable(request_.target);
}

// Sends the request by another gateway, or answers it.
void request_relay::go_by_peer(forward_reason why)
{
    if (try_peer(why))
    {
        return;
    }
    if (forwarded_ && why == forward_reason::links_lost && !may_have_run_)
    {
        decline(forward_end::cut_off);
        return;
    }
    answer_locally(local_answer_reason::unreachable);
}

// Returns false, without effect, if the request cannot go by another gateway.
bool request_relay::try_peer(forward_reason why)
{
    const bool is_known_unreachable =
        why == forward_reason::server_unreachable && context_.peers != nullptr &&
        context_.peers->is_unreachable_for_others(sent_to_.server);
    if (!may_go_by_peer() || is_known_unreachable)
    {
        return false;
    }
    const std::optional<endpoint> to = context_.peers->start(tried_peers_);
    if (!to)
    {
        return false;
    }
    send_to_peer(*to, why);
    return true;
}

void request_relay::send_to_peer(const endpoint& to, forward_reason why)
{
    if (!enter(request_phase::in_flight_gateway))
    {
        return;
    }
    release_reservation();
    release_token();
    release_permission();
    forwarding_ = {to, why};
    tried_peers_.push_back(to);
    context_.log.request_forwarded(
        {request_id_, route_.name, service_}, to, why, context_.loop.now() - arrived_);
    exchange_options options = common_options(connect_timeout);
    const std::weak_ptr<request_relay> weak = weak_from_this();
    options.is_wanted = [weak]
    {
        const std::shared_ptr<request_relay> self = weak.lock();
        return self && !self->responder_->is_disconnected();
    };
    exchange_ = context_.http.send(to,
                                   make_forwarded_request(),
                                   options,
                                   in_this_phase(&request_relay::on_peer_end));
}

http_request request_relay::make_forwarded_request() const
{
    http_request made = request_;
    made.headers.remove_connection_headers();
    const auto ms = std::chrono::duration_cast<milliseconds>(time_left()).count();
    made.headers.set(context_.codec.names().remaining_ms,
                     std::to_string(std::max<long>(ms, 1)));
    const forward_terms terms{context_.state.config().version,
                              route_.max_attempts - possible_runs_};
    made.target = format_forward_target({terms, request_.target});
    return made;
}

// Removes from the answer what it says of the forwarding.
forward_end request_relay::classify_forward(exchange_result& got) const
{
    if (is_unsent(got.end))
    {
        return forward_end::unsupported;
    }
    if (got.end != exchange_end::answered)
    {
        return forward_end::unknown;
    }
    const forward_end how = take_forward_end(got.answer);
    const std::string_view id =
        got.answer.headers.find(context_.codec.names().request_id).value_or("");
    const bool is_own = id == request_id_ || how == forward_end::unsupported;
    return is_own ? how : forward_end::unknown;
}

void request_relay::on_peer_end(exchange_result got)
{
    end_flight();
    const auto [peer, why] = *std::exchange(forwarding_, {});
    if (got.end == exchange_end::withdrawn)
    {
        context_.peers->ended(peer, peer_end::taken);
        on_client_left(true);
        return;
    }
    const bool has_answer = got.end == exchange_end::answered;
    forward_end how = classify_forward(got);
    context_.log.forward_ended(
        {request_id_, route_.name, service_}, peer, how, got.end, got.time_taken);
    context_.peers->ended(peer, peer_end_of(how, got.end));
    if (is_declined(how))
    {
        go_by_peer(why);
        return;
    }
    if (has_answer && how != forward_end::unknown)
    {
        finish_forward(how, std::move(got.answer));
        return;
    }
    may_have_run_ = true;
    ++possible_runs_;
    const bool is_sent_again = !has_answer && claim_retry(attempt_end::lost);
    if (is_sent_again)
    {
        try_send();
        return;
    }
    answer_locally(reason_after(attempt_end::lost));
}

// The other gateway has an answer that is final here, too.
void request_relay::finish_forward(forward_end how, http_response answer)
{
    if (how == forward_end::answered)
    {
        forward_answer(std::move(answer));
        return;
    }
    if (how == forward_end::unreachable && !sent_to_.server.str().empty())
    {
        context_.peers->note_unreachable(sent_to_.server);
    }
    if (may_have_run_)
    {
        answer_locally(local_answer_reason::server_lost);
        return;
    }
    answer.headers.remove_connection_headers();
    responder_->respond(std::move(answer));
    finish();
}

// For a request that another gateway has forwarded: it is not taken on.
void request_relay::decline(forward_end reason)
{
    context_.log.forward_declined(reason);
    http_response answer = make_decline(reason);
    answer.headers.add(context_.codec.names().request_id, request_id_);
    responder_->respond(std::move(answer));
    finish();
}

void request_relay::on_links_lost()
{
    const bool is_at_server = progress_.phase() == request_phase::in_flight_server;
    if (!is_at_server || !route_.is_repeatable)
    {
        return;
    }
    const bool may_be_sent = cancel_attempt(cancel_reason::unwanted).may_be_sent;
    release_reservation();
    release_token();
    release_permission();
    if (may_be_sent)
    {
        may_have_run_ = true;
        ++possible_runs_;
        if (!claim_retry(attempt_end::lost))
        {
            answer_locally(reason_after(attempt_end::lost));
            return;
        }
    }
    try_send();
}

} // namespace camphorrock
