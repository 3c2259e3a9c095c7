#include "core/gateway/store/store_watchers.hpp"

#include "core/gateway/fleet/seeded_hash.hpp"

#include <algorithm>
#include <map>
#include <utility>

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

// The watchers among the gateways of one data centre, or of a whole small fleet.
std::vector<fleet_gateway> choose_watchers(std::vector<fleet_gateway> candidates,
                                           const store_watcher_options& options)
{
    std::sort(candidates.begin(), candidates.end(), is_preferred);
    candidates.resize(std::min(candidates.size(), options.watchers));
    return candidates;
}

} // namespace

std::vector<endpoint> store_watchers_of(const std::vector<fleet_gateway>& fleet,
                                        store_watcher_options options)
{
    std::map<data_centre, std::vector<fleet_gateway>> parts;
    for (const fleet_gateway& it : fleet)
    {
        const bool is_single = fleet.size() <= options.max_single_fleet;
        parts[is_single ? data_centre() : it.zone].push_back(it);
    }
    std::vector<endpoint> watchers;
    for (const auto& [zone, candidates] : parts)
    {
        for (const fleet_gateway& it : choose_watchers(candidates, options))
        {
            watchers.push_back(it.peer);
        }
    }
    return watchers;
}

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
    std::vector<endpoint> sources;
    for (const fleet_gateway& it : choose_watchers(std::move(candidates), options))
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
