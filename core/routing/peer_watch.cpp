#include "core/routing/peer_watch.hpp"

namespace camphorrock
{

void peer_watch::sent(const endpoint& peer, time_point now)
{
    auto it = unheard_.find(peer);
    if (it != unheard_.end())
    {
        it->second.last_sent = now;
        return;
    }
    if (unheard_.size() < options_.max_peers)
    {
        unheard_.emplace(peer, unheard_peer{now + options_.quiet_limit, now, 0});
    }
}

void peer_watch::heard(const endpoint& peer)
{
    unheard_.erase(peer);
}

void peer_watch::question_failed(const endpoint& peer)
{
    auto it = unheard_.find(peer);
    if (it != unheard_.end())
    {
        ++it->second.failures;
    }
}

bool peer_watch::is_silent(const endpoint& peer) const
{
    auto it = unheard_.find(peer);
    return it != unheard_.end() && it->second.failures >= options_.silent_after;
}

std::vector<endpoint> peer_watch::due(time_point now)
{
    std::erase_if(unheard_,
                  [&](const auto& it)
                  { return it.second.last_sent + options_.forget_after <= now; });
    std::vector<endpoint> asked;
    for (auto& [peer, it] : unheard_)
    {
        if (it.ask_at <= now)
        {
            it.ask_at = now + options_.ask_period;
            asked.push_back(peer);
        }
    }
    return asked;
}

} // namespace camphorrock
