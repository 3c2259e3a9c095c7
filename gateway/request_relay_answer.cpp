// The part of request_relay that answers the client: with a server's answer, or with one
// of its own.

#include "gateway/request_relay.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration min_retry_after = milliseconds(80);
constexpr int retry_after_spread_ms = 120; // random, against simultaneous retries

// What the first gateway is told of a request that this one answers itself.
forward_end forward_end_of(local_answer_reason reason)
{
    switch (reason)
    {
    case local_answer_reason::unreachable:
        return forward_end::unreachable;
    case local_answer_reason::no_route:
    case local_answer_reason::no_key:
        return forward_end::not_run;
    default:
        return is_not_run(reason) ? forward_end::not_run : forward_end::unknown;
    }
}

// True if a request that was sent has got no answer since its server was too busy.
bool is_for_lack_of_room(local_answer_reason reason)
{
    return reason == local_answer_reason::overloaded ||
           reason == local_answer_reason::shed ||
           reason == local_answer_reason::timed_out;
}

} // namespace

// A server that refuses a request says "not run" in a header, which classify() reads. The
// status alone doesn't prove it, but its client would take it for a proof.
void request_relay::forward_answer(http_response answer)
{
    if (!route_.is_repeatable && promises_not_run(answer.status))
    {
        may_have_run_ = true;
        answer_locally(local_answer_reason::unproven_refusal);
        return;
    }
    answer.headers.remove_connection_headers();
    context_.log.answer_forwarded({request_id_, route_.name, service_},
                                  answer.status,
                                  context_.loop.now() - arrived_);
    if (forwarded_)
    {
        set_forward_end(answer, forward_end::answered);
    }
    responder_->respond(std::move(answer));
    finish();
}

duration request_relay::retry_after() const
{
    const int spread =
        static_cast<int>(context_.state.random()() % retry_after_spread_ms);
    const duration excess =
        missing_room_
            ? missing_room_->time_until()
            : std::max<duration>(rejected_.value_or(rejected_latency{}).expected -
                                     route_.target_latency / 2,
                                 duration::zero());
    return min_retry_after + milliseconds(spread) + excess + pause_left_;
}

void request_relay::answer_locally(local_answer_reason wanted)
{
    const bool was_sent = cancel_attempt(cancel_reason::unwanted).may_be_sent;
    may_have_run_ = may_have_run_ || was_sent;
    const bool is_disproved = may_have_run_ && is_not_run(wanted);
    const local_answer_reason reason =
        is_disproved ? reason_after(attempt_end::lost) : wanted;
    service_state* service = context_.state.find_service(service_);
    if (is_admitted_ && service != nullptr && is_for_lack_of_room(reason))
    {
        service->admission.note_unserved(
            admission_terms(), sent_to_, context_.loop.now());
    }
    local_answer_inputs inputs;
    inputs.attempts = static_cast<unsigned>(tried_.size());
    inputs.last_server = sent_to_.server;
    inputs.elapsed = context_.loop.now() - arrived_;
    inputs.time_left = time_left();
    inputs.rejected = rejected_.value_or(rejected_latency{});
    inputs.priority = route_.priority_level;
    inputs.missing = missing_room_;
    inputs.wait = pause_left_;
    inputs.config = context_.state.config().version;
    inputs.assignment = context_.state.assignment().version;
    inputs.key = key_;
    inputs.waited_for = progress_.previous();
    if (standing() != crash_standing::clear)
    {
        inputs.fingerprint = text_of(fingerprint());
    }
    context_.log.answered_locally({request_id_, route_.name, service_}, reason, inputs);
    http_response answer = make_local_answer(reason, retry_after());
    answer.headers.add(context_.codec.names().request_id, request_id_);
    if (forwarded_)
    {
        set_forward_end(answer, forward_end_of(reason));
    }
    responder_->respond(std::move(answer));
    finish();
}

} // namespace camphorrock
