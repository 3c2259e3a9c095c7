#include "core/routing/peer_failure_detector.hpp"

namespace camphorrock
{

void peer_failure_detector::sent(const endpoint& peer, time_point now)
{
    auto it = unanswered_.find(peer);
    if (it != unanswered_.end())
    {
        it->second.last_sent_at = now;
        return;
    }
    if (unanswered_.size() < options_.max_peers)
    {
        unanswered_.emplace(peer, unanswered_peer{now + options_.probe_delay, now, 0});
    }
}

void peer_failure_detector::note_answer(const endpoint& peer)
{
    unanswered_.erase(peer);
}

void peer_failure_detector::probe_failed(const endpoint& peer)
{
    auto it = unanswered_.find(peer);
    if (it != unanswered_.end())
    {
        ++it->second.failed_probes;
    }
}

bool peer_failure_detector::is_unresponsive(const endpoint& peer) const
{
    auto it = unanswered_.find(peer);
    return it != unanswered_.end() &&
           it->second.failed_probes >= options_.failure_threshold;
}

std::vector<endpoint> peer_failure_detector::due_probes(time_point now)
{
    std::erase_if(unanswered_,
                  [&](const auto& it)
                  { return it.second.last_sent_at + options_.forget_after <= now; });
    std::vector<endpoint> to_probe;
    for (auto& [peer, it] : unanswered_)
    {
        if (it.next_probe_at <= now)
        {
            it.next_probe_at = now + options_.probe_period;
            to_probe.push_back(peer);
        }
    }
    return to_probe;
}

} // namespace camphorrock
