#include "core/gateway/fleet/counting_gateways.hpp"

#include "core/gateway/fleet/seeded_hash.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace camphorrock
{

// Rendezvous hashing: the gateways with the highest scores by the name's hash.
std::vector<endpoint> ranked_gateways_of(const std::vector<fleet_gateway>& fleet,
                                         const std::string& name,
                                         std::size_t n)
{
    const std::uint64_t seed = seeded_hash(name, 0);
    std::vector<std::pair<std::uint64_t, const endpoint*>> scores;
    scores.reserve(fleet.size());
    for (const fleet_gateway& it : fleet)
    {
        scores.emplace_back(seeded_hash(it.peer.str(), seed), &it.peer);
    }
    const std::size_t size = std::min(n, scores.size());
    std::partial_sort(scores.begin(),
                      scores.begin() + static_cast<std::ptrdiff_t>(size),
                      scores.end(),
                      [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<endpoint> chosen;
    for (std::size_t at = 0; at < size; ++at)
    {
        chosen.push_back(*scores[at].second);
    }
    return chosen;
}

void counting_gateways::set_fleet(const std::vector<fleet_gateway>& fleet,
                                  const endpoint& self)
{
    fleet_ = fleet;
    self_ = self;
}

std::optional<endpoint> counting_gateways::choose(const std::string& name,
                                                  time_point now) const
{
    for (const endpoint& it : ranked_gateways_of(fleet_, name, options_.per_name))
    {
        const auto found = missed_.find(it);
        if (found == missed_.end() || now >= found->second.silent_until)
        {
            return it;
        }
    }
    return std::nullopt;
}

bool counting_gateways::is_preferred(const std::string& name) const
{
    const std::vector<endpoint> first = ranked_gateways_of(fleet_, name, 1);
    return !first.empty() && first.front() == self_;
}

void counting_gateways::note_reply(const endpoint& from)
{
    missed_.erase(from);
}

void counting_gateways::note_missed_reply(const endpoint& from, time_point now)
{
    health& it = missed_[from];
    ++it.missed_replies;
    if (it.missed_replies >= options_.missed_replies_to_silence)
    {
        it = {0, now + options_.silence_time};
    }
}

void counting_gateways::expire(time_point now)
{
    std::erase_if(missed_,
                  [&](const auto& it) {
                      return now >= it.second.silent_until &&
                             it.second.missed_replies == 0;
                  });
}

} // namespace camphorrock
