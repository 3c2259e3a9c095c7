#include "gateway/reservation_agent.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration reply_timeout = milliseconds(30);
constexpr std::size_t max_late_releases = 4096; // further ones are released at once

} // namespace

reservation_agent::reservation_agent(event_loop& loop,
                                     gateway_state& state,
                                     send_function send)
    : loop_(loop), state_(state), send_(std::move(send))
{
    set_fleet();
    state_.on_fleet_change([this] { set_fleet(); });
}

void reservation_agent::set_fleet()
{
    gateways_.set_fleet(gateways_that_count_requests(state_.gateways()),
                        state_.settings().peer);
    gateways_.expire(loop_.now());
}

std::optional<reservation> reservation_agent::reserve(const server_id& server,
                                                      reply_callback done)
{
    const std::optional<endpoint> to = gateways_.choose(server.str(), loop_.now());
    if (!to)
    {
        return std::nullopt;
    }
    const reservation made{tag_of(server), state_.draw_id()};
    held_[made] = *to;
    if (*to == state_.settings().peer)
    {
        done(counter_.reserve(made, loop_.now()));
        return made;
    }
    const timer_handle timeout =
        loop_.after(reply_timeout, [this, id = made.id] { on_reply_timeout(id); });
    pending_replies_[made.id] = {*to, std::move(done), timeout};
    send_(*to, encode_reservation(reserve_request{made, state_.settings().peer}));
    return made;
}

void reservation_agent::release(const reservation& held)
{
    pending_replies_.erase(held.id);
    const auto found = held_.find(held);
    if (found == held_.end())
    {
        return;
    }
    const endpoint counter = std::move(found->second);
    held_.erase(found);
    if (counter == state_.settings().peer)
    {
        counter_.release(held);
        return;
    }
    send_(counter, encode_reservation(reserve_release{held}));
}

void reservation_agent::release_after(const reservation& held, duration span)
{
    pending_replies_.erase(held.id);
    const bool has_room = late_releases_.size() < max_late_releases;
    if (!has_room || !held_.contains(held))
    {
        release(held);
        return;
    }
    late_releases_[held] = loop_.after(span,
                                       [this, held]
                                       {
                                           const auto ended =
                                               late_releases_.extract(held);
                                           release(held);
                                       });
}

void reservation_agent::on_reply_timeout(std::uint64_t id)
{
    const auto found = pending_replies_.find(id);
    if (found != pending_replies_.end())
    {
        gateways_.note_missed_reply(found->second.from, loop_.now());
        end_wait(id, std::nullopt);
    }
}

void reservation_agent::end_wait(std::uint64_t id, std::optional<unsigned> requests)
{
    const auto found = pending_replies_.find(id);
    if (found == pending_replies_.end())
    {
        return;
    }
    const reply_callback done = std::move(found->second.done);
    pending_replies_.erase(found);
    done(requests);
}

void reservation_agent::on_datagram(std::string_view datagram)
{
    const std::optional<reservation_message> message = decode_reservation(datagram);
    if (!message)
    {
        return;
    }
    if (const auto* request = std::get_if<reserve_request>(&*message))
    {
        const unsigned others = counter_.reserve(request->wanted, loop_.now());
        send_(request->reply_to,
              encode_reservation(reserve_reply{request->wanted.id, others}));
    }
    else if (const auto* reply = std::get_if<reserve_reply>(&*message))
    {
        end_wait(reply->id, reply->other_requests);
    }
    else if (const auto* release = std::get_if<reserve_release>(&*message))
    {
        counter_.release(release->held);
    }
}

} // namespace camphorrock
