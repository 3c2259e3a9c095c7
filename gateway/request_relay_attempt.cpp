// The part of request_relay for the end of an attempt at a server: what it means, and
// whether the request is sent again.

#include "gateway/request_relay.hpp"
#include "net/http_status.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr unsigned max_attempts_not_run = 3;
constexpr duration min_silence_check = milliseconds(20); // against frequent timers

// An attempt that timed out after it was sent shows nothing by itself: the server may be
// slow.
attempt_evidence evidence_of(exchange_end end)
{
    switch (end)
    {
    case exchange_end::answered:
    case exchange_end::invalid_answer:
    case exchange_end::too_large:
        return attempt_evidence::reached;
    case exchange_end::not_connected:
    case exchange_end::connection_lost:
        return attempt_evidence::unreached;
    case exchange_end::timed_out:
    case exchange_end::timed_out_before_send:
    case exchange_end::withdrawn:
        break;
    }
    return attempt_evidence::none;
}

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

attempt_end request_relay::classify(const exchange_result& got) const
{
    if (got.end == exchange_end::withdrawn ||
        got.end == exchange_end::timed_out_before_send)
    {
        return attempt_end::cancelled;
    }
    if (is_unsent(got.end))
    {
        return attempt_end::unreachable;
    }
    if (got.end != exchange_end::answered)
    {
        return attempt_end::lost;
    }
    const wire_names& names = context_.codec.names();
    // An answer without the request's id may be a late copy of an earlier answer, also if
    // it says that its request was not run.
    const std::string_view id = got.answer.headers.find(names.request_id).value_or("");
    if (id != request_id_)
    {
        return attempt_end::lost;
    }
    const bool is_not_run = got.answer.headers.find(names.not_run).has_value();
    const bool is_misdirected = got.answer.status == http_status::misdirected;
    if (is_misdirected && !is_not_run && !route_.is_repeatable)
    {
        return attempt_end::lost;
    }
    if (is_misdirected)
    {
        return key_ ? attempt_end::not_owner : attempt_end::other_server;
    }
    if (is_not_run)
    {
        return attempt_end::shed;
    }
    if (!is_valid_answer(got.answer))
    {
        return attempt_end::lost;
    }
    return got.answer.status >= http_status::server_error ? attempt_end::server_error
                                                          : attempt_end::answered;
}

// A success must carry the server's signature, and no answer may be content-encoded: its
// body must be as the server made it.
bool request_relay::is_valid_answer(const http_response& answer) const
{
    const wire_names& names = context_.codec.names();
    if (answer.headers.find("Content-Encoding"))
    {
        return false;
    }
    return !is_success(answer.status) || answer.headers.find(names.signature);
}

void request_relay::on_exchange_end(const exchange_result& got)
{
    end_flight();
    token_.reset();
    note_link(evidence_of(got.end));
    const attempt_end how = classify(got);
    const duration elapsed = context_.loop.now() - sent_at_;
    if (is_from_intended_server(how))
    {
        note_load(got.answer);
    }
    const std::optional<silence_class> passed_over = passed_over_;
    end_attempt(how, elapsed);
    std::optional<silence_class> silence;
    if (got.end == exchange_end::timed_out)
    {
        silence = passed_over ? passed_over : note_silence(elapsed);
    }
    release_reservation();
    if (got.end != exchange_end::connection_lost)
    {
        note_attempt_end(how);
    }
    if (got.end == exchange_end::withdrawn)
    {
        on_withdrawn();
        return;
    }
    if (got.end == exchange_end::timed_out_before_send)
    {
        on_deadline();
        return;
    }
    const bool is_invalid_answer =
        how == attempt_end::lost && got.end == exchange_end::answered;
    if (is_invalid_answer)
    {
        context_.http.drop_connections(sent_to_.address);
    }
    if (is_from_intended_server(how))
    {
        note_server_state(got.answer);
    }
    if (how == attempt_end::answered)
    {
        forward_answer(got.answer);
        return;
    }
    on_attempt_failed(how, got, silence);
}

// The server may still hold the request, unless it had no room for it.
std::optional<silence_class> request_relay::note_silence(duration elapsed)
{
    service_state* service = context_.state.find_service(service_);
    if (service == nullptr)
    {
        return std::nullopt;
    }
    const silence_class made =
        service->pool.note_silence(sent_to_, elapsed, context_.loop.now());
    if (made != silence_class::full)
    {
        note_given_up(elapsed);
    }
    return made;
}

void request_relay::note_given_up(duration elapsed)
{
    service_state* service = context_.state.find_service(service_);
    if (service == nullptr)
    {
        return;
    }
    const time_point now = context_.loop.now();
    const auto held_until = service->pool.note_given_up(sent_to_, elapsed, now);
    if (held_until && reservation_ && reservation_->held)
    {
        context_.reservations->release_after(*reservation_->held, *held_until - now);
        reservation_.reset();
    }
}

void request_relay::on_attempt_failed(attempt_end how,
                                      const exchange_result& got,
                                      std::optional<silence_class> silence)
{
    const bool may_have_run =
        how == attempt_end::lost || how == attempt_end::server_error;
    may_have_run_ = may_have_run_ || may_have_run;
    possible_runs_ += may_have_run ? 1 : 0;
    attempts_not_run_ += may_have_run ? 0 : 1;
    // A key that was refused waits first; what is then sent is claimed at that time.
    const bool is_sent_again =
        how == attempt_end::not_owner ? may_retry(how) : claim_retry(how);
    log_failed_attempt(how, got, is_sent_again, silence);
    const bool is_checked =
        got.end == exchange_end::connection_lost && context_.crashes != nullptr;
    if (is_checked)
    {
        check_crash();
    }
    if (how == attempt_end::not_owner)
    {
        context_.on_key_refused(service_, *key_);
        note_refusal();
    }
    if (is_sent_again && how == attempt_end::not_owner)
    {
        wait_for_owner();
        return;
    }
    if (is_sent_again && is_checked)
    {
        return; // goes on when it is known whether the server has crashed
    }
    if (is_sent_again)
    {
        try_send();
        return;
    }
    if (how == attempt_end::server_error)
    {
        forward_answer(got.answer);
        return;
    }
    const bool is_forwarded =
        how == attempt_end::unreachable && try_peer(forward_reason::server_unreachable);
    if (!is_forwarded)
    {
        answer_locally(reason_after(how));
    }
}

void request_relay::log_failed_attempt(attempt_end how,
                                       const exchange_result& got,
                                       bool is_sent_again,
                                       std::optional<silence_class> silence)
{
    const wire_names& names = context_.codec.names();
    failed_attempt ended;
    ended.how = how;
    ended.answer_id = got.answer.headers.find(names.request_id).value_or("");
    ended.says_not_run = got.answer.headers.find(names.not_run).has_value();
    ended.earlier_at_address = earlier_attempts_at_address();
    ended.elapsed = context_.loop.now() - sent_at_;
    ended.is_sent_again = is_sent_again;
    ended.silence = silence;
    context_.log.attempt_failed(
        {request_id_, route_.name, service_}, sent_to_, got, ended);
}

// Attempts before the last one that went to the same address.
std::size_t request_relay::earlier_attempts_at_address() const
{
    const auto last = tried_.end() - 1;
    return static_cast<std::size_t>(std::count_if(
        tried_.begin(),
        last,
        [&](const server_choice& it) { return it.address == last->address; }));
}

void request_relay::end_attempt(attempt_end how, duration elapsed)
{
    const bool was_passed_over = std::exchange(passed_over_, {}).has_value();
    service_state* service = context_.state.find_service(service_);
    if (service == nullptr)
    {
        return;
    }
    if (was_passed_over)
    {
        service->pool.end_passed_over(sent_to_);
    }
    service->pool.attempt_ended(sent_to_, how, elapsed, context_.loop.now());
    if (how == attempt_end::answered)
    {
        service->admission.note_answered(
            admission_terms(), sent_to_, elapsed, context_.loop.now());
    }
    if (service->pool.take_lost_trust(sent_to_.server))
    {
        context_.log.server_load_distrusted(sent_to_.server, request_id_);
    }
}

void request_relay::watch_for_silence(duration span)
{
    set_phase_timer(std::max<duration>(span, min_silence_check),
                    &request_relay::on_silence_check);
}

// Replaces an attempt that is probably lost. One that may only be late is worth waiting
// for, since its server is working on it. One for which its server had no room leaves its
// place to others meanwhile.
void request_relay::on_silence_check()
{
    const time_point now = context_.loop.now();
    service_state* service = context_.state.find_service(service_);
    if (!passed_over_ && service != nullptr)
    {
        passed_over_ = service->pool.pass_over(sent_to_, now - sent_at_, now);
        if (passed_over_)
        {
            release_reservation();
        }
    }
    if (!can_replace_attempt())
    {
        watch_for_silence(sent_to_.expected_latency);
        return;
    }
    const cancelled_attempt ended = cancel_attempt(cancel_reason::silence);
    token_.reset();
    release_reservation();
    const attempt_end how =
        ended.may_be_sent ? attempt_end::lost : attempt_end::cancelled;
    note_attempt_end(how);
    exchange_result got;
    got.end =
        ended.may_be_sent ? exchange_end::timed_out : exchange_end::timed_out_before_send;
    on_attempt_failed(how, got, ended.silence);
}

// True if the attempt is probably lost, and a server is expected to answer the request
// in time if it is sent again. Asks what try_send() will ask once the attempt is
// cancelled.
bool request_relay::can_replace_attempt()
{
    const time_point now = context_.loop.now();
    service_state* service = context_.state.find_service(service_);
    const bool is_lost = service != nullptr && route_.is_repeatable &&
                         possible_runs_ + 1 < route_.max_attempts &&
                         service->pool.is_probably_lost(sent_to_, now - sent_at_, now) &&
                         service->budget.allows_retry(now);
    if (!is_lost)
    {
        return false;
    }
    server_criteria criteria = untried_servers();
    if (key_)
    {
        const std::optional<key_owner> owner = find_owner();
        if (!owner)
        {
            return false;
        }
        criteria.owner = owner->server;
        criteria.excluded.clear();
    }
    const std::optional<server_choice> to = choose_server(criteria);
    rejected_.reset();
    missing_room_.reset();
    return to && to->room_in == duration::zero();
}

// True if the request may be sent again, if a retry budget allows it.
bool request_relay::may_retry(attempt_end how) const
{
    const bool is_safe = route_.is_repeatable || !may_have_run_;
    const bool has_attempts =
        possible_runs_ < route_.max_attempts && attempts_not_run_ <= max_attempts_not_run;
    // Only its owner can run a request for a key.
    const bool has_other_server = !key_ || how != attempt_end::shed;
    return is_safe && has_attempts && has_other_server && time_left() > duration::zero();
}

// True if the request may be sent again. Unless nothing was sent in the last attempt, the
// retry is counted against the retry budget of the service.
bool request_relay::claim_retry(attempt_end how)
{
    if (!may_retry(how))
    {
        return false;
    }
    if (how == attempt_end::unreachable)
    {
        return true;
    }
    service_state* service = context_.state.find_service(service_);
    return service != nullptr && service->budget.try_spend_retry(context_.loop.now());
}

local_answer_reason request_relay::reason_after(attempt_end how) const
{
    const bool is_deadline_reached = time_left() <= answer_margin;
    if (may_have_run_)
    {
        return is_deadline_reached ? local_answer_reason::timed_out
                                   : local_answer_reason::server_lost;
    }
    switch (how)
    {
    case attempt_end::shed:
        return local_answer_reason::shed;
    case attempt_end::not_owner:
        return local_answer_reason::no_owner;
    default:
        return is_deadline_reached ? local_answer_reason::waited_too_long
                                   : local_answer_reason::unreachable;
    }
}

} // namespace camphorrock
