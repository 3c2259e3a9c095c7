#include "gateway/request_relay.hpp"

#include "core/base/number_text.hpp"
#include "net/http_status.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration client_margin = milliseconds(10); // the answer's way to the client
constexpr duration connect_timeout = milliseconds(250);
constexpr duration owner_pause =
    milliseconds(100); // before a refused owner is asked again
constexpr duration max_owner_wait = milliseconds(350);
constexpr int wait_part = 3; // of a request's time: the longest wait for an owner
constexpr unsigned max_refusals = 3;
constexpr int aim_percent = 110; // of the target latency
constexpr duration min_retry_after = milliseconds(80);
constexpr int retry_after_spread = 120; // ms

std::string_view path_of_target(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

request_relay::request_relay(relay_parts& parts,
                             http_request request,
                             std::shared_ptr<http_responder> responder,
                             ended_callback on_ended)
    : parts_(parts), request_(std::move(request)), responder_(std::move(responder)),
      on_ended_(std::move(on_ended)), arrived_(parts.loop.now())
{
}

void request_relay::start()
{
    const std::weak_ptr<request_relay> weak = weak_from_this();
    responder_->on_gone(
        [weak]
        {
            if (const std::shared_ptr<request_relay> self = weak.lock())
            {
                self->on_client_gone();
            }
        });
    if (!read_request())
    {
        return;
    }
    deadline_timer_ = parts_.loop.at(deadline_,
                                     [weak]
                                     {
                                         if (const auto self = weak.lock())
                                         {
                                             self->on_deadline();
                                         }
                                     });
    try_send();
}

// False where the request was answered already.
bool request_relay::read_request()
{
    const wire_names& names = parts_.codec.names();
    request_id_ = std::string(request_.headers.find(names.request_id).value_or(""));
    if (!parts_.state.has_config())
    {
        answer_self(own_reason::no_config);
        return false;
    }
    const gateway_route* route = parts_.state.routes().find(
        request_.headers.find("Host").value_or(""), path_of_target(request_.target));
    if (route == nullptr)
    {
        answer_self(own_reason::no_route);
        return false;
    }
    route_ = *route;
    service_ = parts_.state.choose_part(route_);
    const service_state* service = parts_.state.find_service(service_);
    if (service == nullptr)
    {
        answer_self(own_reason::no_server);
        return false;
    }
    const std::optional<unsigned> remaining_ms =
        parse_number<unsigned>(request_.headers.find(names.remaining_ms).value_or(""));
    deadline_ = arrived_ + route_.timeout;
    if (remaining_ms)
    {
        const time_point client_end = arrived_ + milliseconds(*remaining_ms);
        deadline_ = std::min(deadline_, client_end - client_margin);
    }
    if (service->config.is_keyed)
    {
        const std::optional<unsigned> key =
            parse_number<unsigned>(request_.headers.find(names.shard_key).value_or(""));
        if (!key || *key > last_shard_key)
        {
            answer_self(own_reason::no_key);
            return false;
        }
        key_ = shard_key{*key};
        parts_.on_key_request(service_, *key_);
    }
    return true;
}

// An answer that is expected later than the target is worth little to the client, and its
// wait at the server makes those behind it late too.
duration request_relay::longest_expected() const
{
    return route_.target_latency * aim_percent / 100;
}

duration request_relay::left() const
{
    return deadline_ - parts_.loop.now();
}

request_relay::key_owner request_relay::find_owner() const
{
    const key_share* share = parts_.state.assignment().find(service_, *key_);
    if (share == nullptr)
    {
        return {};
    }
    if (share->is_moving)
    {
        return {std::nullopt, true};
    }
    return {share->owner, true};
}

void request_relay::try_send()
{
    const time_point now = parts_.loop.now();
    service_state* service = parts_.state.find_service(service_);
    if (service == nullptr)
    {
        answer_self(own_reason::no_server);
        return;
    }
    server_wish wish;
    wish.tried = tried_;
    if (key_)
    {
        const key_owner found = find_owner();
        if (!found.owner)
        {
            wait();
            return;
        }
        if (service->pool.is_out_of_reach(*found.owner, now))
        {
            answer_self(may_have_run_ ? own_reason::server_lost
                                      : own_reason::unreachable);
            return;
        }
        wish.owner = found.owner;
        wish.tried.clear();
    }
    const std::optional<server_choice> to =
        service->pool.choose(wish, parts_.state.random(), now);
    if (!to)
    {
        if (key_)
        {
            wait();
            return;
        }
        answer_self(may_have_run_ ? own_reason::server_lost : own_reason::no_server);
        return;
    }
    if (to->expected > std::min(left(), longest_expected()))
    {
        refused_for_ = to->expected;
        answer_self(may_have_run_ ? own_reason::server_lost : own_reason::overloaded);
        return;
    }
    send_to(*to);
}

void request_relay::send_to(const server_choice& to)
{
    service_state* service = parts_.state.find_service(service_);
    const time_point now = parts_.loop.now();
    is_waiting_ = false;
    pause_.reset();
    sent_to_ = to;
    sent_at_ = now;
    tried_.push_back(to.server);
    service->pool.started(to.server);
    if (tried_.size() == 1)
    {
        service->budget.first_sent(now);
    }
    parts_.log.sent(
        {request_id_, route_.name, service_}, to, static_cast<unsigned>(tried_.size()));
    exchange_options options;
    options.timeout = left();
    options.connect_timeout = std::min(connect_timeout, left());
    options.is_end_by_close_whole = true;
    const std::weak_ptr<request_relay> weak = weak_from_this();
    exchange_ = parts_.http.send(to.address,
                                 make_upstream_request(to, left()),
                                 options,
                                 [weak](const exchange_result& got)
                                 {
                                     if (const auto self = weak.lock())
                                     {
                                         self->on_end(got);
                                     }
                                 });
}

http_request request_relay::make_upstream_request(const server_choice& to,
                                                  duration left) const
{
    const wire_names& names = parts_.codec.names();
    http_request made = request_;
    made.headers.remove_connection_headers();
    const auto ms = std::chrono::duration_cast<milliseconds>(left).count();
    made.headers.set(names.remaining_ms, std::to_string(std::max<long>(ms, 1)));
    made.headers.set(names.expected_server, to.server.str());
    return made;
}

attempt_end request_relay::classify(const exchange_result& got) const
{
    if (is_nothing_sent(got.end))
    {
        return attempt_end::unreachable;
    }
    if (got.end != exchange_end::answered)
    {
        return attempt_end::lost;
    }
    const wire_names& names = parts_.codec.names();
    const std::optional<std::string_view> id = got.answer.headers.find(names.request_id);
    if (id && *id != request_id_)
    {
        return attempt_end::lost;
    }
    const bool is_not_run = got.answer.headers.find(names.not_run).has_value();
    if (got.answer.status == http_status::misdirected)
    {
        return attempt_end::not_owner;
    }
    if (is_not_run)
    {
        return attempt_end::shed;
    }
    if (!is_sound(got.answer))
    {
        return attempt_end::lost;
    }
    return got.answer.status >= http_status::server_error ? attempt_end::server_error
                                                          : attempt_end::answered;
}

// A success must be signed, and its body must be as the server made it.
bool request_relay::is_sound(const http_response& answer) const
{
    const wire_names& names = parts_.codec.names();
    if (answer.headers.find("Content-Encoding"))
    {
        return false;
    }
    return !is_success(answer.status) || (answer.headers.find(names.signature) &&
                                          answer.headers.find(names.request_id));
}

void request_relay::on_end(const exchange_result& got)
{
    exchange_.reset();
    const attempt_end how = classify(got);
    const duration elapsed = parts_.loop.now() - sent_at_;
    if (service_state* service = parts_.state.find_service(service_))
    {
        service->pool.ended(sent_to_, how, elapsed, parts_.loop.now());
    }
    const bool is_foreign = how == attempt_end::lost && got.end == exchange_end::answered;
    if (is_foreign)
    {
        parts_.http.drop_connections(sent_to_.address);
    }
    if (how == attempt_end::answered)
    {
        pass_on(got.answer);
        return;
    }
    after_failure(how, got);
}

void request_relay::after_failure(attempt_end how, const exchange_result& got)
{
    const bool is_run_possible =
        how == attempt_end::lost || how == attempt_end::server_error;
    may_have_run_ = may_have_run_ || is_run_possible;
    sendings_ += is_run_possible ? 1 : 0;
    refusals_ += is_run_possible ? 0 : 1;
    const bool again = may_send_again(how);
    parts_.log.attempt_failed({request_id_, route_.name, service_},
                              sent_to_,
                              how,
                              parts_.loop.now() - sent_at_,
                              again);
    if (again && how == attempt_end::not_owner)
    {
        parts_.on_key_refused(service_, *key_);
        is_waiting_ = true;
        wait();
        return;
    }
    if (again)
    {
        try_send();
        return;
    }
    if (how == attempt_end::server_error)
    {
        pass_on(got.answer);
        return;
    }
    answer_self(reason_after(how));
}

bool request_relay::may_send_again(attempt_end how)
{
    const bool is_safe = route_.is_repeatable || !may_have_run_;
    const bool has_attempts =
        sendings_ < route_.max_attempts && refusals_ <= max_refusals;
    const bool has_other = !key_ || how != attempt_end::shed; // the owner is the only one
    if (!is_safe || !has_attempts || !has_other || left() <= duration::zero())
    {
        return false;
    }
    if (how == attempt_end::unreachable)
    {
        return true;
    }
    service_state* service = parts_.state.find_service(service_);
    return service != nullptr && service->budget.try_repeat(parts_.loop.now());
}

own_reason request_relay::reason_after(attempt_end how) const
{
    if (may_have_run_)
    {
        return left() <= client_margin ? own_reason::timed_out : own_reason::server_lost;
    }
    switch (how)
    {
    case attempt_end::shed:
        return own_reason::shed;
    case attempt_end::not_owner:
        return own_reason::no_owner;
    default:
        return own_reason::unreachable;
    }
}

// A key that moves is served again within the time of the work that its old owner ends.
duration request_relay::longest_wait() const
{
    const duration part = (deadline_ - arrived_) / wait_part;
    return std::min<duration>(part, max_owner_wait);
}

// Waits for an owner of the key: until wake() finds one, or it takes too long.
void request_relay::wait()
{
    const time_point now = parts_.loop.now();
    const time_point limit = arrived_ + longest_wait();
    const bool is_stuck = parts_.state.is_move_stuck(service_, *key_, now);
    if (now >= limit || is_stuck)
    {
        answer_self(may_have_run_ ? own_reason::server_lost : own_reason::no_owner);
        return;
    }
    is_waiting_ = true;
    const std::weak_ptr<request_relay> weak = weak_from_this();
    pause_ = parts_.loop.after(std::min<duration>(owner_pause, limit - now),
                               [weak]
                               {
                                   if (const auto self = weak.lock())
                                   {
                                       self->try_send();
                                   }
                               });
}

void request_relay::wake()
{
    if (is_waiting_ && !is_ended_)
    {
        const key_owner found = find_owner();
        const bool is_new =
            found.owner && (tried_.empty() || *found.owner != tried_.back());
        if (is_new)
        {
            try_send();
        }
    }
}

void request_relay::on_deadline()
{
    if (is_ended_)
    {
        return;
    }
    const bool is_sent = exchange_.has_value();
    answer_self(is_sent || may_have_run_ ? own_reason::timed_out
                                         : own_reason::waited_too_long);
}

void request_relay::on_client_gone()
{
    if (is_ended_)
    {
        return;
    }
    parts_.log.client_gone({request_id_, route_.name, service_},
                           parts_.loop.now() - arrived_);
    end();
}

void request_relay::pass_on(http_response answer)
{
    answer.headers.remove_connection_headers();
    parts_.log.answered({request_id_, route_.name, service_},
                        answer.status,
                        parts_.loop.now() - arrived_);
    responder_->respond(std::move(answer));
    end();
}

duration request_relay::retry_after() const
{
    const int spread = static_cast<int>(parts_.state.random()() % retry_after_spread);
    const duration excess =
        std::max<duration>(refused_for_ - route_.target_latency / 2, duration::zero());
    return min_retry_after + milliseconds(spread) + excess;
}

void request_relay::answer_self(own_reason why)
{
    own_answer_inputs by;
    by.sendings = static_cast<unsigned>(tried_.size());
    by.last_server = sent_to_.server;
    by.elapsed = parts_.loop.now() - arrived_;
    by.left = left();
    by.expected = refused_for_;
    by.config = parts_.state.config().version;
    by.keys = parts_.state.assignment().version;
    by.key = key_;
    parts_.log.answered_self({request_id_, route_.name, service_}, why, by);
    http_response answer = make_own_answer(why, retry_after());
    answer.headers.add(parts_.codec.names().request_id, request_id_);
    responder_->respond(std::move(answer));
    end();
}

void request_relay::end()
{
    is_ended_ = true;
    is_waiting_ = false;
    if (exchange_)
    {
        parts_.http.cancel(*exchange_);
        exchange_.reset();
        if (service_state* service = parts_.state.find_service(service_))
        {
            const time_point now = parts_.loop.now();
            service->pool.ended(sent_to_, attempt_end::cancelled, now - sent_at_, now);
        }
    }
    deadline_timer_.reset();
    pause_.reset();
    on_ended_(shared_from_this());
}

} // namespace camphorrock
