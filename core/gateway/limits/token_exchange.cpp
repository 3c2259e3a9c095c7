#include "core/gateway/limits/token_exchange.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{

token_exchange::token_exchange(time_point started_at, token_exchange_options options)
    : options_(options), gateways_(options.counting),
      counter_(started_at, options.counter), permits_(options.permits)
{
}

void token_exchange::set_fleet(const std::vector<fleet_gateway>& fleet,
                               const endpoint& self)
{
    gateways_.set_fleet(fleet, self);
    largest_fleet_ = std::max(largest_fleet_, fleet.size());
}

void token_exchange::request(token_id id,
                             const server_id& server,
                             double rate,
                             duration max_wait,
                             std::minstd_rand& random,
                             time_point now)
{
    const duration wait = std::max<duration>(max_wait, duration::zero());
    pending_token& it = pending_[id];
    it = {server, rate, wait, {}, 0, {}};
    ask(id, it, random, now);
}

void token_exchange::ask(token_id id,
                         pending_token& it,
                         std::minstd_rand& random,
                         time_point now)
{
    const std::optional<endpoint> to = gateways_.choose(it.server.str(), now);
    if (!to || it.attempts == options_.max_attempts)
    {
        const std::size_t gateways =
            largest_fleet_ == 0 ? assumed_fleet_size : largest_fleet_;
        decide(id, permits_.take(it.server, it.rate, gateways, it.max_wait, random, now));
        return;
    }
    if (*to == gateways_.self())
    {
        decide(
            id,
            counter_.take(it.server, it.rate, it.max_wait, is_preferred(it.server), now));
        return;
    }
    ++it.attempts;
    it.asked = *to;
    it.timeout = now + options_.reply_timeout;
    outgoing_.push_back(
        {*to, token_request{id, it.server, it.rate, it.max_wait, gateways_.self()}});
}

void token_exchange::decide(token_id id, const token_decision& decision)
{
    pending_.erase(id);
    decided_.push_back({id, decision});
}

bool token_exchange::is_preferred(const server_id& server) const
{
    return gateways_.is_preferred(server.str());
}

void token_exchange::withdraw(token_id id)
{
    pending_.erase(id);
}

template<class Message>
void token_exchange::tell_counter(const Message& message, time_point now)
{
    const std::optional<endpoint> to = gateways_.choose(message.server.str(), now);
    if (to && *to == gateways_.self())
    {
        handle(message, now);
    }
    else if (to)
    {
        outgoing_.push_back({*to, message});
    }
}

void token_exchange::give_back(const server_id& server, time_point now)
{
    tell_counter(token_unused{server}, now);
}

void token_exchange::spend(const server_id& server, double rate, time_point now)
{
    tell_counter(token_spent{server, rate}, now);
}

void token_exchange::receive(const limit_message& message, time_point now)
{
    std::visit([&](const auto& it) { handle(it, now); }, message);
}

void token_exchange::handle(const token_request& request, time_point now)
{
    const token_decision decision = counter_.take(request.server,
                                                  request.rate,
                                                  request.max_wait,
                                                  is_preferred(request.server),
                                                  now);
    outgoing_.push_back(
        {request.reply_to, token_reply{request.id, decision.is_granted, decision.wait}});
}

void token_exchange::handle(const token_reply& reply, time_point)
{
    const auto found = pending_.find(reply.id);
    if (found != pending_.end())
    {
        gateways_.note_reply(found->second.asked);
        decide(reply.id, {reply.is_granted, reply.wait});
    }
}

void token_exchange::handle(const token_unused& unused, time_point now)
{
    counter_.give_back(unused.server, now);
}

void token_exchange::handle(const token_spent& spent, time_point now)
{
    counter_.spend(spent.server, spent.rate, is_preferred(spent.server), now);
}

void token_exchange::handle(const limits_notice&, time_point) {}

void token_exchange::handle(const warm_ups_notice&, time_point) {}

void token_exchange::tick(std::minstd_rand& random, time_point now)
{
    std::vector<token_id> late;
    for (const auto& [id, it] : pending_)
    {
        if (now >= it.timeout)
        {
            late.push_back(id);
        }
    }
    for (const token_id id : late)
    {
        pending_token& it = pending_.at(id);
        gateways_.note_missed_reply(it.asked, now);
        ask(id, it, random, now);
    }
}

std::optional<time_point> token_exchange::next_timeout() const
{
    std::optional<time_point> first;
    for (const auto& [id, it] : pending_)
    {
        first = std::min(first.value_or(it.timeout), it.timeout);
    }
    return first;
}

void token_exchange::expire(time_point now)
{
    counter_.expire(now);
    permits_.expire(now);
    gateways_.expire(now);
}

std::vector<outgoing_limit_message> token_exchange::take_outgoing()
{
    return std::exchange(outgoing_, {});
}

std::vector<decided_token> token_exchange::take_decided()
{
    return std::exchange(decided_, {});
}

} // namespace camphorrock
