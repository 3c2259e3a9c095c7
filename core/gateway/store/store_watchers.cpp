#include "core/gateway/store/store_watchers.hpp"

#include "core/gateway/fleet/seeded_hash.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

std::uint64_t hash_of(const endpoint& it)
{
    return seeded_hash(it.str(), 0);
}

// The strongest first; equal ones in an order that does not follow their addresses.
bool is_preferred(const fleet_gateway& a, const fleet_gateway& b)
{
    if (a.processor_percent != b.processor_percent)
    {
        return a.processor_percent > b.processor_percent;
    }
    return hash_of(a.peer) < hash_of(b.peer);
}

} // namespace

std::vector<endpoint> watch_sources_of(const std::vector<fleet_gateway>& fleet,
                                       const fleet_gateway& self,
                                       store_watcher_options options)
{
    std::vector<fleet_gateway> candidates = fleet;
    if (fleet.size() > options.max_single_fleet)
    {
        std::erase_if(candidates,
                      [&](const fleet_gateway& it) { return it.zone != self.zone; });
    }
    std::sort(candidates.begin(), candidates.end(), is_preferred);
    candidates.resize(std::min(candidates.size(), options.watchers));
    std::vector<endpoint> sources;
    for (const fleet_gateway& it : candidates)
    {
        if (it.peer == self.peer)
        {
            return {};
        }
        sources.push_back(it.peer);
    }
    // Each watcher is the preferred one of about as many gateways.
    if (!sources.empty())
    {
        const auto shift =
            static_cast<std::ptrdiff_t>(hash_of(self.peer) % sources.size());
        std::rotate(sources.begin(), sources.begin() + shift, sources.end());
    }
    return sources;
}

} // namespace camphorrock
