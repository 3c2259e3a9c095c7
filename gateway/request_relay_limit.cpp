// The part of request_relay that gets a token for an attempt at a server with a rate
// limit.

#include "gateway/request_relay.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// A token that is used later may fall into a time with other tokens.
constexpr duration token_validity = milliseconds(500);
// A request that other servers could run waits for this part of the time that it has.
constexpr int shared_wait_divisor = 4;
// The longest wait for a cold server while others may be chosen. Without any, a part of
// the tokens lapses.
constexpr duration max_wait_beside_others = milliseconds(20);
constexpr duration min_limit_pause = milliseconds(1);

} // namespace

std::optional<double> request_relay::limit_of(const server_choice& to) const
{
    return context_.state.rate_of(to.server, to.incarnation, context_.loop.now());
}

// A request that another server can run hardly waits for a cold one.
duration request_relay::longest_token_wait(const server_choice& to) const
{
    const duration spare =
        std::min(time_left(), max_expected_latency()) - to.expected_latency;
    if (key_)
    {
        return spare;
    }
    const time_point now = context_.loop.now();
    const bool is_cold =
        context_.state.warm_ups().is_cold(to.server, to.incarnation, now);
    const service_state* service = context_.state.find_service(service_);
    if (!is_cold || service == nullptr)
    {
        return spare / shared_wait_divisor;
    }
    server_criteria others;
    for (const server_choice& it : tried_)
    {
        others.excluded.push_back(it.server);
    }
    others.excluded.push_back(to.server);
    const bool has_other =
        service->pool.choose(others, context_.state.random(), now).has_value();
    return has_other ? std::min<duration>(max_wait_beside_others, spare)
                     : spare / shared_wait_divisor;
}

// Goes on with send_with_token(), or with another server.
void request_relay::ask_for_token(const server_choice& to, double rate)
{
    release_token();
    enter(request_phase::token_wait);
    token_ = attempt_token{to, rate, {}, {}, false};
    token_->asked =
        context_.limits->request_token(to.server,
                                       rate,
                                       longest_token_wait(to),
                                       in_this_phase(&request_relay::on_token_decision));
}

void request_relay::on_token_decision(token_decision decision)
{
    const time_point now = context_.loop.now();
    token_->asked.reset();
    context_.log.token_decided(
        {request_id_, route_.name, service_}, token_->to.server, token_->rate, decision);
    if (!decision.is_granted)
    {
        const duration pause = std::max<duration>(decision.wait, min_limit_pause);
        if (service_state* service = context_.state.find_service(service_))
        {
            service->pool.note_limit_reached(token_->to.server, now + pause);
        }
        token_.reset();
        try_send();
        return;
    }
    token_->usable_at = now + decision.wait;
    if (decision.wait == duration::zero() || is_token_outdated())
    {
        send_with_token();
        return;
    }
    enter(request_phase::token_due_wait);
    set_phase_timer(token_->usable_at, &request_relay::send_with_token);
}

// The state may have changed since the server was chosen.
void request_relay::send_with_token()
{
    if (!may_still_use(token_->to) || is_token_outdated())
    {
        release_token();
        try_send();
        return;
    }
    send_if_owner_allows(token_->to);
}

// True if the attempt that is about to be sent needs a token and has none, since its
// server named a limit after it was chosen, or since the loop was late.
bool request_relay::is_token_missing() const
{
    if (context_.limits == nullptr || !limit_of(sent_to_))
    {
        return false;
    }
    return !token_ || is_token_outdated() ||
           context_.loop.now() > token_->usable_at + token_validity;
}

// True if the token was granted at a higher rate and its server has turned cold since:
// many such tokens may be due together.
bool request_relay::is_token_outdated() const
{
    const server_choice& to = token_->to;
    const std::optional<double> limit = limit_of(to);
    return limit && *limit < token_->rate &&
           context_.state.warm_ups().is_cold(
               to.server, to.incarnation, context_.loop.now());
}

// At once, not when it is due: the gateway that counts then hands out the next one at the
// lower rate from now on.
void request_relay::return_outdated_token()
{
    if (is_token_outdated())
    {
        release_token();
        try_send();
    }
}

void request_relay::release_token()
{
    if (!token_)
    {
        return;
    }
    if (token_->asked)
    {
        context_.limits->withdraw(*token_->asked);
    }
    else if (!token_->is_used)
    {
        context_.limits->return_token(token_->to.server);
    }
    token_.reset();
}

} // namespace camphorrock
