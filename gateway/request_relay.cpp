#include "gateway/request_relay.hpp"

#include "core/base/number_text.hpp"
#include "net/http_status.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration connect_timeout = milliseconds(250);
constexpr int max_latency_percent = 110; // of the target latency
constexpr unsigned max_choices = 3;      // of servers that lack room, for one attempt

exchange_result no_response()
{
    exchange_result made;
    made.end = exchange_end::timed_out;
    return made;
}

std::string_view target_path(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

request_relay::request_relay(relay_context& context,
                             http_request request,
                             std::shared_ptr<http_responder> responder,
                             ended_callback on_ended,
                             std::optional<forward_terms> forwarded)
    : context_(context), request_(std::move(request)), responder_(std::move(responder)),
      on_ended_(std::move(on_ended)), forwarded_(forwarded), arrived_(context.loop.now())
{
    request_.share_body();
}

bool request_relay::enter(request_phase to)
{
    if (!progress_.enter(to))
    {
        return false;
    }
    end_wait();
    return true;
}

void request_relay::end_wait()
{
    phase_timer_.reset();
    if (reservation_ && !reservation_->is_answered)
    {
        release_reservation();
    }
    if (token_ && token_->asked)
    {
        release_token();
    }
    if (permission_ && permission_->asked)
    {
        release_permission();
    }
}

void request_relay::set_phase_timer(time_point when, void (request_relay::*go_on)())
{
    phase_timer_ = context_.loop.at(when, in_this_phase(go_on));
}

void request_relay::set_phase_timer(duration span, void (request_relay::*go_on)())
{
    phase_timer_ = context_.loop.after(span, in_this_phase(go_on));
}

void request_relay::start()
{
    const std::weak_ptr<request_relay> weak = weak_from_this();
    responder_->on_disconnect(
        [weak]
        {
            if (const std::shared_ptr<request_relay> self = weak.lock())
            {
                self->on_client_left(false);
            }
        });
    if (!read_request())
    {
        return;
    }
    if (responder_->is_disconnected())
    {
        on_client_left(true);
        return;
    }
    if (forwarded_)
    {
        context_.log.forward_taken({request_id_, route_.name, service_},
                                   route_.max_attempts);
    }
    start_deadline_timer();
    try_send();
}

void request_relay::start_deadline_timer()
{
    deadline_timer_ = context_.loop.at(deadline_,
                                       [weak = weak_from_this()]
                                       {
                                           if (const auto self = weak.lock())
                                           {
                                               self->on_deadline();
                                           }
                                       });
}

void request_relay::answer_by(time_point when)
{
    if (!progress_.is_ended() && when < deadline_)
    {
        deadline_ = when;
        start_deadline_timer();
    }
}

// Finds the request's route, service, deadline and key. Returns false if it has answered
// the request instead.
bool request_relay::read_request()
{
    const wire_names& names = context_.codec.names();
    request_id_ = std::string(request_.headers.find(names.request_id).value_or(""));
    if (forwarded_ && context_.state.config().version < forwarded_->config)
    {
        decline(forward_end::behind);
        return false;
    }
    if (context_.refuses_requests)
    {
        answer_locally(local_answer_reason::stopping);
        return false;
    }
    if (!context_.state.has_config())
    {
        answer_locally(local_answer_reason::no_config);
        return false;
    }
    const gateway_route* route = context_.state.routes().find(
        request_.headers.find("Host").value_or(""), target_path(request_.target));
    if (route == nullptr)
    {
        answer_locally(local_answer_reason::no_route);
        return false;
    }
    route_ = *route;
    if (forwarded_)
    {
        route_.max_attempts = std::min(route_.max_attempts, forwarded_->max_attempts);
    }
    if (!route_.is_usable)
    {
        answer_locally(local_answer_reason::route_unreadable);
        return false;
    }
    service_ = context_.state.choose_service(route_);
    const service_state* service = context_.state.find_service(service_);
    if (service == nullptr)
    {
        answer_locally(local_answer_reason::no_server);
        return false;
    }
    const std::optional<unsigned> remaining_ms =
        parse_number<unsigned>(request_.headers.find(names.remaining_ms).value_or(""));
    deadline_ = arrived_ + route_.timeout;
    if (remaining_ms)
    {
        const time_point client_deadline = arrived_ + milliseconds(*remaining_ms);
        deadline_ = std::min(deadline_, client_deadline - answer_margin);
    }
    deadline_ = std::min(deadline_, context_.answer_by);
    if (service->config.is_keyed)
    {
        const std::optional<unsigned> key =
            parse_number<unsigned>(request_.headers.find(names.shard_key).value_or(""));
        if (!key || *key > last_shard_key)
        {
            answer_locally(local_answer_reason::no_key);
            return false;
        }
        key_ = shard_key{*key};
        if (!forwarded_) // the first gateway has counted it
        {
            context_.on_key_request(service_, *key_);
        }
    }
    return true;
}

// Above it, a request that would wait at a server is refused: an answer later than the
// target is worth less to the client, and the wait delays the requests behind it too.
duration request_relay::max_expected_latency() const
{
    return route_.target_latency * max_latency_percent / 100;
}

duration request_relay::time_left() const
{
    return deadline_ - context_.loop.now();
}

void request_relay::try_send()
{
    if (!enter(request_phase::choosing))
    {
        return;
    }
    if (context_.state.find_service(service_) == nullptr)
    {
        answer_locally(local_answer_reason::no_server);
        return;
    }
    if (standing() == crash_standing::condemned)
    {
        answer_locally(local_answer_reason::crashes_servers);
        return;
    }
    if (is_cut_off())
    {
        go_by_peer(forward_reason::links_lost);
        return;
    }
    if (context_.links != nullptr && context_.links->state() == link_state::suspected)
    {
        wait_for_links();
        return;
    }
    server_criteria criteria = untried_servers();
    if (key_ && !require_owner(criteria))
    {
        return;
    }
    const std::optional<server_choice> to = choose_server(criteria);
    if (!to && rejected_)
    {
        answer_locally(local_answer_reason::overloaded);
        return;
    }
    if (!to && !busy_servers_.empty())
    {
        wait_for_permission();
        return;
    }
    if (!to)
    {
        on_no_choice(criteria.owner);
        return;
    }
    if (to->room_in > duration::zero())
    {
        on_full_server(*to);
        return;
    }
    if (standing() == crash_standing::suspected && !is_permitted(to->server))
    {
        ask_for_permission(*to);
        return;
    }
    send_with_limits(*to);
}

server_criteria request_relay::untried_servers() const
{
    server_criteria made;
    made.bytes = request_.content().size();
    made.excluded = busy_servers_;
    for (const server_choice& it : tried_)
    {
        made.excluded.push_back(it.server);
    }
    return made;
}

admission_request request_relay::admission_terms() const
{
    return {
        route_.priority_level, {time_left(), max_expected_latency()}, key_.has_value()};
}

// Chooses a server to which the request is worth sending. Notes by what it was rejected
// if there is none. Where a server lacks room for a more urgent request, a further one
// may have it, which has a higher cost but answers faster.
std::optional<server_choice> request_relay::choose_server(server_criteria criteria)
{
    rejected_.reset();
    missing_room_.reset();
    const time_point now = context_.loop.now();
    service_state* service = context_.state.find_service(service_);
    server_choice first;
    for (unsigned n = 0; n < max_choices; ++n)
    {
        std::optional<server_choice> to =
            service->pool.choose(criteria, context_.state.random(), now);
        if (!to)
        {
            break;
        }
        const admission_limit limit =
            service->admission.limit_of(admission_terms(), *to, now);
        if (is_worth_sending(*to, limit.longest))
        {
            rejected_.reset();
            missing_room_.reset();
            return to;
        }
        if (!rejected_)
        {
            first = *to;
            rejected_ = make_rejected_latency(*to, limit.longest);
            missing_room_ = limit.missing;
        }
        if (!limit.missing || key_)
        {
            break;
        }
        criteria.excluded.push_back(to->server);
    }
    if (rejected_ && !is_admitted_)
    {
        service->admission.note_refused(admission_terms(), first, now);
    }
    return std::nullopt;
}

// Sends the request, if its server has a rate limit as soon as a token for it is due.
void request_relay::send_with_limits(const server_choice& to)
{
    const std::optional<double> limit = limit_of(to);
    if (limit && context_.limits != nullptr)
    {
        ask_for_token(to, *limit);
        return;
    }
    send_if_owner_allows(to);
}

// Sends the request, unless a retry at the owner of its key is not within the budgets.
void request_relay::send_if_owner_allows(const server_choice& to)
{
    if (key_ && !may_send_to_owner(sent_to_owner_))
    {
        answer_locally(local_answer_reason::no_owner);
        return;
    }
    send_to(to);
}

void request_relay::send_to(const server_choice& to)
{
    if (!enter(request_phase::in_flight_server))
    {
        return;
    }
    service_state* service = context_.state.find_service(service_);
    const time_point now = context_.loop.now();
    sent_to_ = to;
    sent_at_ = now;
    if (token_)
    {
        token_->is_used = true;
    }
    tried_.push_back(to);
    service->pool.attempt_started(to, now);
    if (!is_admitted_)
    {
        is_admitted_ = true;
        service->budget.record_first_attempt(now);
        service->admission.note_sent(admission_terms(), now);
    }
    context_.log.attempt_started({request_id_, route_.name, service_},
                                 to,
                                 static_cast<unsigned>(tried_.size()),
                                 now - arrived_);
    if (limit_of(to))
    {
        context_.log.sent_to_limited(to.server, "request");
    }
    if (context_.links != nullptr)
    {
        link_attempt_ = context_.links->attempt_started(to.expected_latency);
    }
    exchange_options options = common_options(connect_timeout);
    options.allows_close_delimited = true;
    options.connection = next_connection();
    const std::weak_ptr<request_relay> weak = weak_from_this();
    options.is_wanted = [weak]
    {
        const std::shared_ptr<request_relay> self = weak.lock();
        return self && !self->responder_->is_disconnected() && !self->is_cut_off() &&
               !self->is_server_closed() && !self->is_server_paused() &&
               !self->is_token_missing() && !self->is_permission_missing();
    };
    exchange_ = context_.http.send(to.address,
                                   make_upstream_request(to, time_left()),
                                   options,
                                   in_this_phase(&request_relay::on_exchange_end));
    watch_for_silence(service->pool.overdue_after(to));
}

// The options of any exchange of this request.
exchange_options request_relay::common_options(duration connect_timeout) const
{
    exchange_options made;
    made.timeout = time_left();
    made.connect_timeout = std::min(connect_timeout, time_left());
    made.is_own_answer = own_answer_check();
    return made;
}

// All attempts of a request have the same id, so a late copy of the answer to an earlier
// one could be taken for that to the next on the same connection. A repeatable request
// loses nothing by it.
connection_choice request_relay::next_connection() const
{
    const bool may_get_copy = !route_.is_repeatable && earlier_attempts_at_address() > 0;
    return may_get_copy ? connection_choice::fresh : connection_choice::pooled;
}

// Empty for HEAD requests. An answer without an id cannot be told from one to another
// request, so it is taken here; classify() does not trust it.
std::function<bool(const http_response&)> request_relay::own_answer_check() const
{
    if (request_.method == "HEAD")
    {
        return {};
    }
    return [id = request_id_,
            name = context_.codec.names().request_id](const http_response& answer)
    {
        const auto found = answer.headers.find(name);
        return !found || *found == id;
    };
}

http_request request_relay::make_upstream_request(const server_choice& to,
                                                  duration time_left) const
{
    const wire_names& names = context_.codec.names();
    http_request made = request_;
    made.headers.remove_connection_headers();
    const auto ms = std::chrono::duration_cast<milliseconds>(time_left).count();
    made.headers.set(names.remaining_ms, std::to_string(std::max<long>(ms, 1)));
    made.headers.set(names.expected_server, to.server.str());
    return made;
}

void request_relay::on_deadline()
{
    if (progress_.is_ended())
    {
        return;
    }
    const cancelled_attempt ended = cancel_attempt(cancel_reason::silence);
    may_have_run_ = ended.may_be_sent || may_have_run_;
    if (ended.silence)
    {
        log_failed_attempt(attempt_end::lost, no_response(), false, ended.silence);
    }
    answer_locally(local_answer_reason::waited_too_long);
}

void request_relay::on_client_left(bool is_noticed_late)
{
    if (progress_.is_ended())
    {
        return;
    }
    context_.log.client_disconnected({request_id_, route_.name, service_},
                                     context_.loop.now() - arrived_,
                                     is_noticed_late);
    finish();
}

void request_relay::end_flight()
{
    phase_timer_.reset();
    exchange_.reset();
    progress_.attempt_ended();
}

// Ends the attempt in flight, if there is one.
request_relay::cancelled_attempt request_relay::cancel_attempt(cancel_reason why)
{
    if (!progress_.is_in_flight())
    {
        return {};
    }
    const bool may_be_sent = context_.http.cancel(*exchange_);
    end_flight();
    if (forwarding_)
    {
        context_.peers->ended(forwarding_->to, peer_end::taken);
        forwarding_.reset();
        return {may_be_sent};
    }
    note_link(attempt_evidence::none);
    const time_point now = context_.loop.now();
    const duration elapsed = now - sent_at_;
    const std::optional<silence_class> passed_over = passed_over_;
    end_attempt(attempt_end::cancelled, elapsed);
    if (passed_over)
    {
        return {may_be_sent, passed_over};
    }
    if (may_be_sent && why == cancel_reason::silence)
    {
        return {true, note_silence(elapsed)};
    }
    if (may_be_sent)
    {
        note_given_up(elapsed);
    }
    return {may_be_sent};
}

void request_relay::finish()
{
    cancel_attempt(cancel_reason::unwanted);
    if (!enter(request_phase::ended))
    {
        return;
    }
    release_reservation();
    release_token();
    release_permission();
    deadline_timer_.reset();
    on_ended_(shared_from_this());
}

} // namespace camphorrock
