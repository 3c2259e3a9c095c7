#include "gateway/limit_agent.hpp"

#include "codec/limit_codec.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace camphorrock
{
namespace
{

constexpr duration notice_period = seconds(1);

} // namespace

limit_agent::limit_agent(event_loop& loop, gateway_state& state, send_function send)
    : loop_(loop), state_(state), send_(std::move(send)), exchange_(loop.now())
{
    set_fleet();
    state_.on_fleet_change([this] { set_fleet(); });
    notice_timer_ = loop_.every(notice_period,
                                [this]
                                {
                                    expire();
                                    send_notice();
                                });
}

void limit_agent::set_fleet()
{
    exchange_.set_fleet(state_.gateways(), state_.settings().peer);
}

token_id limit_agent::request_token(const server_id& server,
                                    double rate,
                                    duration max_wait,
                                    decision_callback done)
{
    const token_id id{state_.draw_id()};
    waiting_[id] = std::move(done);
    exchange_.request(id, server, rate, max_wait, state_.random(), loop_.now());
    flush();
    return id;
}

void limit_agent::flush()
{
    for (const outgoing_limit_message& it : exchange_.take_outgoing())
    {
        send_(it.to, encode_limit_message(it.message));
    }
    for (const decided_token& it : exchange_.take_decided())
    {
        post_decision(it);
    }
    const std::optional<time_point> timeout = exchange_.next_timeout();
    if (!timeout)
    {
        reply_timer_.reset();
        return;
    }
    reply_timer_ = loop_.at(*timeout,
                            [this]
                            {
                                exchange_.tick(state_.random(), loop_.now());
                                flush();
                            });
}

void limit_agent::post_decision(const decided_token& decided)
{
    loop_.post(
        [this, decided, alive = std::weak_ptr<const bool>(alive_)]
        {
            if (alive.expired())
            {
                return;
            }
            const auto found = waiting_.find(decided.id);
            if (found != waiting_.end())
            {
                const decision_callback done = std::move(found->second);
                waiting_.erase(found);
                done(decided.decision);
            }
        });
}

void limit_agent::withdraw(token_id id)
{
    waiting_.erase(id);
    exchange_.withdraw(id);
    flush();
}

void limit_agent::return_token(const server_id& server)
{
    exchange_.give_back(server, loop_.now());
    flush();
}

void limit_agent::spend(const server_id& server, double rate)
{
    exchange_.spend(server, rate, loop_.now());
    flush();
}

bool limit_agent::on_datagram(std::string_view datagram)
{
    const std::optional<limit_message> message = decode_limit_message(datagram);
    if (!message)
    {
        return false;
    }
    if (const auto* notice = std::get_if<limits_notice>(&*message))
    {
        adopt(*notice);
        return true;
    }
    if (const auto* warm_ups = std::get_if<warm_ups_notice>(&*message))
    {
        for (const cold_server& it : warm_ups->servers)
        {
            state_.adopt_warm_up(it, loop_.now());
        }
        return true;
    }
    exchange_.receive(lowered(*message), loop_.now());
    flush();
    return true;
}

// Another gateway may not know yet that the server is cold.
limit_message limit_agent::lowered(limit_message message) const
{
    const auto lower = [&](const server_id& server, double& rate)
    {
        const known_server* known = state_.servers().find(server);
        if (known != nullptr)
        {
            const std::optional<double> own =
                state_.warm_up_rate_of(server, known->entry.incarnation, loop_.now());
            rate = std::min(rate, own.value_or(rate));
        }
    };
    if (auto* request = std::get_if<token_request>(&message))
    {
        lower(request->server, request->rate);
    }
    else if (auto* spent = std::get_if<token_spent>(&message))
    {
        lower(spent->server, spent->rate);
    }
    return message;
}

void limit_agent::adopt(const limits_notice& notice)
{
    for (const aged_limit& it : notice.limits)
    {
        const time_point now = loop_.now();
        state_.adopt_limit(
            {it.server, it.incarnation, it.rate, it.has_ended, now - it.age}, now);
    }
}

// Several changes in one turn of the loop cause one notice.
void limit_agent::on_limits_changed()
{
    if (is_notice_posted_)
    {
        return;
    }
    is_notice_posted_ = true;
    loop_.post(
        [this, alive = std::weak_ptr<const bool>(alive_)]
        {
            if (!alive.expired())
            {
                is_notice_posted_ = false;
                send_notice();
            }
        });
}

void limit_agent::send_notice()
{
    limits_notice notice;
    for (const server_limit& it : state_.limits().all())
    {
        if (notice.limits.size() < max_limits_in_notice)
        {
            const duration age = loop_.now() - it.observed_at;
            notice.limits.push_back({it.server,
                                     it.incarnation,
                                     it.rate,
                                     it.has_ended,
                                     std::min(age, max_limit_message_time)});
        }
    }
    if (!notice.limits.empty())
    {
        send_to_group(notice);
    }
    const warm_ups_notice warm_ups{
        state_.warm_ups().cold_by_answers(max_limits_in_notice, loop_.now())};
    if (!warm_ups.servers.empty())
    {
        send_to_group(warm_ups);
    }
}

void limit_agent::send_to_group(const limit_message& message)
{
    const std::string datagram = encode_limit_message(message);
    for (const endpoint& to : state_.groups().members())
    {
        if (to != state_.settings().peer)
        {
            send_(to, datagram);
        }
    }
}

void limit_agent::expire()
{
    state_.expire_limits(loop_.now());
    exchange_.expire(loop_.now());
}

} // namespace camphorrock
