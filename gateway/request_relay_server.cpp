// The part of request_relay for what servers say of themselves: how busy they are, that
// they leave, or that they want a pause.

#include "gateway/rate_limit_header.hpp"
#include "gateway/request_relay.hpp"
#include "gateway/retry_after.hpp"
#include "gateway/server_load_header.hpp"
#include "gateway/warm_up_header.hpp"
#include "gateway/warm_up_report.hpp"
#include "net/http_status.hpp"

namespace camphorrock
{

bool request_relay::is_server_paused() const
{
    const service_state* service = context_.state.find_service(service_);
    return service != nullptr &&
           service->pool.is_paused(sent_to_.server, context_.loop.now());
}

// True if the data centre of the server was drained since the server was chosen.
bool request_relay::is_server_closed() const
{
    return context_.state.is_closed_by_drain(
        sent_to_.server, key_.has_value(), context_.loop.now());
}

// Nothing was sent: the client has left, or the server may get no requests any more.
void request_relay::on_withdrawn()
{
    if (responder_->is_disconnected())
    {
        on_client_left(true);
        return;
    }
    tried_.pop_back();
    try_send();
}

// A 421 may come from another server at the same address.
bool request_relay::is_from_intended_server(attempt_end how)
{
    return how == attempt_end::answered || how == attempt_end::server_error ||
           how == attempt_end::shed;
}

// Notes what the answer says of its server besides the request.
void request_relay::note_server_state(const http_response& answer)
{
    const bool is_leaving =
        answer.headers.find(context_.codec.names().leaving).has_value();
    const bool is_news =
        is_leaving && context_.state.announce_leaving(
                          sent_to_.server, sent_to_.incarnation, context_.loop.now());
    if (is_news)
    {
        context_.log.server_leaving(sent_to_.server, request_id_);
    }
    note_limit(answer);
    note_warm_up(answer);
    const auto asked = answer.headers.find(context_.codec.names().retry_after);
    if (asked && answer.status == http_status::unavailable)
    {
        pause_server(std::string(*asked));
    }
}

void request_relay::note_link(attempt_evidence evidence)
{
    if (context_.links != nullptr)
    {
        context_.links->attempt_ended(link_attempt_, evidence, sent_to_.server);
    }
}

// Called before the pool is told of the attempt's end, so that the service time is
// learned with the slowness that the answer reports.
void request_relay::note_load(const http_response& answer)
{
    service_state* service = context_.state.find_service(service_);
    const load_statement said =
        read_server_load(answer.headers, context_.codec.names().server_load);
    if (service == nullptr || !said.is_present)
    {
        return;
    }
    const bool is_news = !said.is_readable && service->pool.note_unreadable_report(
                                                  sent_to_.server, sent_to_.incarnation);
    context_.log.server_load_reported(said.is_readable);
    if (is_news)
    {
        context_.log.server_load_unreadable(sent_to_.server, request_id_);
    }
    if (said.load)
    {
        service->pool.observe_report(
            sent_to_.server, sent_to_.incarnation, *said.load, context_.loop.now());
    }
}

void request_relay::note_limit(const http_response& answer)
{
    const limit_statement said =
        read_rate_limit(answer.headers, context_.codec.names().rate_limit);
    const limit_change change = context_.state.observe_limit(
        sent_to_.server, sent_to_.incarnation, said, context_.loop.now());
    if (change == limit_change::none)
    {
        return;
    }
    context_.log.server_limit_changed(
        sent_to_.server, change, said.rate.value_or(0), request_id_);
    if (context_.limits != nullptr)
    {
        context_.limits->on_limits_changed();
    }
}

void request_relay::note_warm_up(const http_response& answer)
{
    const bool is_changed = camphorrock::note_warm_up(
        context_.state,
        context_.log,
        sent_to_.server,
        sent_to_.incarnation,
        read_warm_up(answer.headers, context_.codec.names().warm_up),
        request_id_,
        context_.loop.now());
    if (is_changed && context_.limits != nullptr)
    {
        context_.limits->on_limits_changed();
    }
}

void request_relay::pause_server(const std::string& asked)
{
    const duration span = parse_retry_after(asked);
    context_.log.server_paused(sent_to_.server, asked, span);
    service_state* service = context_.state.find_service(service_);
    if (service == nullptr || span == duration::zero())
    {
        return;
    }
    service->pool.pause(sent_to_.server, span, context_.loop.now());
    pause_left_ = key_ ? span : duration::zero(); // no other server has the key
}

// No server may be chosen now. A pause of the key's owner is waited for if it ends soon;
// a token is not: the gateway that counts has found none in time.
void request_relay::on_no_choice(const std::optional<server_id>& owner)
{
    const time_point now = context_.loop.now();
    const service_state* service = context_.state.find_service(service_);
    const server_criteria any{{}, owner, {}}; // also servers that were tried
    const std::optional<pool_wait> wait = service->pool.wait_left(any, now);
    const bool is_too_long = wait && (!key_ || wait->is_for_limit ||
                                      now + wait->left >= arrived_ + owner_wait_limit());
    if (is_too_long)
    {
        pause_left_ = wait->left;
        const local_answer_reason reason = wait->is_for_limit
                                               ? local_answer_reason::limited
                                               : local_answer_reason::paused;
        answer_locally(reason);
        return;
    }
    // With no server left that could become the owner, there is nothing to wait for.
    const bool is_hopeless = owner &&
                             context_.state.is_closed_by_drain(*owner, true, now) &&
                             service->pool.usable_count(now) == 0;
    if (key_ && !is_hopeless)
    {
        wait_for_owner();
        return;
    }
    answer_locally(key_ ? local_answer_reason::no_owner : local_answer_reason::no_server);
}

// The servers hold all that they can. The request waits once, if room is expected soon;
// not again, since other requests may take the room.
void request_relay::on_full_server(const server_choice& to)
{
    const bool is_soon = context_.loop.now() + to.room_in < arrived_ + owner_wait_limit();
    if (is_soon && !has_waited_for_room_)
    {
        wait_for_room(to.room_in);
        return;
    }
    rejected_ = {};
    pause_left_ = to.room_in;
    answer_locally(local_answer_reason::full);
}

// A request that waits is not at its server, so it is not counted there meanwhile.
void request_relay::wait_for_room(duration span)
{
    has_waited_for_room_ = true;
    release_reservation();
    enter(request_phase::room_wait);
    set_phase_timer(span, &request_relay::try_send);
}

} // namespace camphorrock
