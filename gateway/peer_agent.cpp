#include "gateway/peer_agent.hpp"

namespace camphorrock
{
namespace
{

constexpr duration unreachable_memory = seconds(1);

} // namespace

peer_agent::peer_agent(event_loop& loop, gateway_state& state)
    : loop_(loop), state_(state)
{
    const auto set_fleet = [this]
    {
        peers_.set_fleet(state_.gateways(), state_.self());
    };
    set_fleet();
    state_.on_fleet_change(set_fleet);
}

std::optional<endpoint> peer_agent::start(const std::vector<endpoint>& excluded)
{
    const std::optional<endpoint> to =
        peers_.choose(excluded, state_.random(), loop_.now());
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
