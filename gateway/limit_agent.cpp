#include "gateway/limit_agent.hpp"

#include "core/gateway/in_flight_counter.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration reply_timeout = milliseconds(50);
constexpr duration silence_time = seconds(2); // a silent gateway is not asked
// Datagrams are lost now and then, which is no silence.
constexpr unsigned missed_replies_to_silence = 3;
constexpr unsigned max_attempts = 4;
// The next one counts while the preferred one is silent.
constexpr std::size_t counters_per_server = 2;
constexpr duration notice_period = seconds(1);
// Until the fleet is known.
constexpr std::size_t unknown_fleet_size = 64;

} // namespace

limit_agent::limit_agent(event_loop& loop, gateway_state& state, send_function send)
    : loop_(loop), state_(state), send_(std::move(send))
{
    notice_timer_ = loop_.every(notice_period,
                                [this]
                                {
                                    expire();
                                    send_notice();
                                });
}

token_id limit_agent::request_token(const server_id& server,
                                    double rate,
                                    duration max_wait,
                                    decision_callback done)
{
    const std::uint64_t high = state_.random()();
    const token_id id{(high << 32) ^ state_.random()()};
    pending_[id] = {server,
                    rate,
                    std::max<duration>(max_wait, duration::zero()),
                    std::move(done),
                    {},
                    0,
                    {}};
    ask(id);
    return id;
}

void limit_agent::ask(token_id id)
{
    pending_token& it = pending_.at(id);
    const std::optional<endpoint> to = choose_counter(it.server);
    if (!to || it.attempts == max_attempts)
    {
        take_permit(id);
        return;
    }
    ++it.attempts;
    it.asked = *to;
    if (*to == state_.settings().peer)
    {
        const token_decision decision = counter_.take(
            it.server, it.rate, it.max_wait, is_preferred(it.server), loop_.now());
        post_decision(id, decision);
        return;
    }
    it.timeout = loop_.after(reply_timeout, [this, id] { on_reply_timeout(id); });
    send_(*to,
          encode_limit_message(token_request{
              id.value, it.server, it.rate, it.max_wait, state_.settings().peer}));
}

void limit_agent::take_permit(token_id id)
{
    const pending_token& it = pending_.at(id);
    const token_decision decision = permits_.take(it.server,
                                                  it.rate,
                                                  assumed_fleet_size(),
                                                  it.max_wait,
                                                  state_.random(),
                                                  loop_.now());
    post_decision(id, decision);
}

std::size_t limit_agent::assumed_fleet_size() const
{
    const std::size_t largest = state_.largest_fleet();
    return largest == 0 ? unknown_fleet_size : largest;
}

std::optional<endpoint> limit_agent::choose_counter(const server_id& server) const
{
    const time_point now = loop_.now();
    for (const endpoint& it :
         ranked_gateways_of(state_.gateways(), server, counters_per_server))
    {
        const auto health = counters_.find(it);
        if (health == counters_.end() || now >= health->second.silent_until)
        {
            return it;
        }
    }
    return std::nullopt;
}

bool limit_agent::is_preferred(const server_id& server) const
{
    const std::vector<endpoint> first = ranked_gateways_of(state_.gateways(), server, 1);
    return !first.empty() && first.front() == state_.settings().peer;
}

void limit_agent::on_reply_timeout(token_id id)
{
    const auto found = pending_.find(id);
    if (found == pending_.end())
    {
        return;
    }
    counter_health& health = counters_[found->second.asked];
    ++health.missed_replies;
    if (health.missed_replies >= missed_replies_to_silence)
    {
        health = {0, loop_.now() + silence_time};
    }
    ask(id);
}

void limit_agent::post_decision(token_id id, const token_decision& decision)
{
    loop_.post(
        [this, id, decision, alive = std::weak_ptr<const bool>(alive_)]
        {
            if (!alive.expired())
            {
                end_wait(id, decision);
            }
        });
}

void limit_agent::end_wait(token_id id, const token_decision& decision)
{
    const auto found = pending_.find(id);
    if (found == pending_.end())
    {
        return;
    }
    const decision_callback done = std::move(found->second.done);
    pending_.erase(found);
    done(decision);
}

// A token that is on its way is not given back: it lapses.
void limit_agent::withdraw(token_id id)
{
    pending_.erase(id);
}

void limit_agent::return_token(const server_id& server)
{
    const std::optional<endpoint> to = choose_counter(server);
    if (!to)
    {
        return;
    }
    if (*to == state_.settings().peer)
    {
        counter_.give_back(server, loop_.now());
        return;
    }
    send_(*to, encode_limit_message(token_unused{server}));
}

void limit_agent::spend(const server_id& server, double rate)
{
    const std::optional<endpoint> to = choose_counter(server);
    if (!to)
    {
        return;
    }
    if (*to == state_.settings().peer)
    {
        counter_.spend(server, rate, is_preferred(server), loop_.now());
        return;
    }
    send_(*to, encode_limit_message(token_spent{server, rate}));
}

bool limit_agent::on_datagram(std::string_view datagram)
{
    const std::optional<limit_message> message = decode_limit_message(datagram);
    if (!message)
    {
        return false;
    }
    std::visit([this](const auto& it) { handle(it); }, *message);
    return true;
}

void limit_agent::handle(const token_request& request)
{
    const token_decision decision = counter_.take(request.server,
                                                  request.rate,
                                                  request.max_wait,
                                                  is_preferred(request.server),
                                                  loop_.now());
    send_(request.reply_to,
          encode_limit_message(
              token_reply{request.id, decision.is_granted, decision.wait}));
}

void limit_agent::handle(const token_reply& reply)
{
    const token_id id{reply.id};
    const auto found = pending_.find(id);
    if (found != pending_.end())
    {
        counters_.erase(found->second.asked);
        end_wait(id, {reply.is_granted, reply.wait});
    }
}

void limit_agent::handle(const token_unused& unused)
{
    counter_.give_back(unused.server, loop_.now());
}

void limit_agent::handle(const token_spent& spent)
{
    counter_.spend(spent.server, spent.rate, is_preferred(spent.server), loop_.now());
}

void limit_agent::handle(const limits_notice& notice)
{
    for (const aged_limit& it : notice.limits)
    {
        state_.limits().adopt(
            {it.server, it.incarnation, it.rate, it.has_ended, loop_.now() - it.age});
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
            notice.limits.push_back({it.server,
                                     it.incarnation,
                                     it.rate,
                                     it.has_ended,
                                     loop_.now() - it.observed_at});
        }
    }
    if (notice.limits.empty())
    {
        return;
    }
    const std::string datagram = encode_limit_message(notice);
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
    const time_point now = loop_.now();
    state_.expire_limits(now);
    counter_.expire(now);
    permits_.expire(now);
    std::erase_if(counters_,
                  [&](const auto& it) {
                      return now >= it.second.silent_until &&
                             it.second.missed_replies == 0;
                  });
}

} // namespace camphorrock
