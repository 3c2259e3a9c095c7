#include "gateway/peer_agent.hpp"

#include "codec/link_codec.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration unreachable_memory = seconds(1);
// Shorter than peer_choice_options::cut_off_memory, by more than one lost notice.
constexpr duration notice_period = seconds(2);

} // namespace

peer_agent::peer_agent(event_loop& loop,
                       gateway_state& state,
                       link_agent& links,
                       send_function send)
    : loop_(loop), state_(state), links_(links), send_(std::move(send))
{
    const auto set_fleet = [this]
    {
        peers_.set_fleet(state_.gateways(), state_.self());
    };
    set_fleet();
    state_.on_fleet_change(set_fleet);
    links_.on_change([this] { on_links_changed(); });
}

void peer_agent::on_links_changed()
{
    const bool is_cut_off = links_.state() == link_state::lost;
    repeat_timer_.reset();
    if (is_cut_off)
    {
        repeat_timer_ = loop_.every(notice_period, [this] { tell_all(true); });
    }
    tell_all(is_cut_off);
}

void peer_agent::tell_all(bool is_cut_off)
{
    const endpoint& self = state_.settings().peer;
    const std::string datagram = encode_links_notice({self, is_cut_off});
    for (const fleet_gateway& it : state_.gateways())
    {
        if (it.peer != self)
        {
            send_(it.peer, datagram);
        }
    }
}

bool peer_agent::on_datagram(std::string_view datagram)
{
    const std::optional<links_notice> notice = decode_links_notice(datagram);
    if (!notice)
    {
        return false;
    }
    const bool is_known =
        std::any_of(state_.gateways().begin(),
                    state_.gateways().end(),
                    [&](const fleet_gateway& it) { return it.peer == notice->from; });
    if (is_known)
    {
        peers_.note_cut_off(notice->from, notice->is_cut_off, loop_.now());
    }
    return true;
}

std::optional<endpoint> peer_agent::start(const std::vector<endpoint>& excluded)
{
    std::optional<endpoint> to = peers_.choose(excluded, state_.random(), loop_.now());
    if (to)
    {
        peers_.started(*to);
    }
    return to;
}

void peer_agent::ended(const endpoint& peer, peer_end how)
{
    peers_.ended(peer, how, loop_.now());
}

void peer_agent::note_unreachable(const server_id& server)
{
    const time_point now = loop_.now();
    std::erase_if(unreachable_until_, [&](const auto& it) { return now >= it.second; });
    unreachable_until_[server] = now + unreachable_memory;
}

bool peer_agent::is_unreachable_for_others(const server_id& server) const
{
    const auto found = unreachable_until_.find(server);
    return found != unreachable_until_.end() && loop_.now() < found->second;
}

} // namespace camphorrock
