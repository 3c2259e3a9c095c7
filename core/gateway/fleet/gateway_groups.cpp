#include "core/gateway/fleet/gateway_groups.hpp"

#include "core/gateway/fleet/seeded_hash.hpp"

#include <algorithm>
#include <string>

namespace camphorrock
{
namespace
{

// Rendezvous hashing: the group with the highest score by the server's hash, among those
// with fewer than `max_per_group` servers.
std::size_t choose_group(const server_id& server,
                         const std::vector<std::size_t>& counts,
                         std::size_t max_per_group)
{
    std::size_t best = counts.size();
    std::uint64_t best_score = 0;
    for (std::size_t group = 0; group < counts.size(); ++group)
    {
        const std::uint64_t score = seeded_hash(server.str(), group + 1);
        const bool is_better = best == counts.size() || score > best_score;
        if (counts[group] < max_per_group && is_better)
        {
            best = group;
            best_score = score;
        }
    }
    return best;
}

} // namespace

std::uint64_t fleet_hash(std::vector<fleet_gateway> fleet)
{
    std::sort(fleet.begin(), fleet.end());
    std::uint64_t tag = 0;
    for (const fleet_gateway& it : fleet)
    {
        tag = seeded_hash(it.peer.str() + ' ' + it.zone.str() + ' ' +
                              std::to_string(it.processor_percent),
                          tag);
    }
    return tag;
}

gateway_groups gateway_groups::create(std::vector<fleet_gateway> fleet,
                                      const fleet_gateway& self,
                                      gateway_group_options options)
{
    auto is_self = [&](const fleet_gateway& it)
    {
        return it.peer == self.peer;
    };
    std::erase_if(fleet, is_self);
    fleet.push_back(self);
    gateway_groups made;
    made.zone_ = self.zone;
    made.is_single_group_ = fleet.size() <= options.max_single_group_size;
    if (!made.is_single_group_)
    {
        std::erase_if(fleet,
                      [&](const fleet_gateway& it) { return it.zone != self.zone; });
        made.group_count_ =
            (fleet.size() + options.max_group_size - 1) / options.max_group_size;
    }
    std::sort(fleet.begin(), fleet.end());
    auto group_of = [&](std::size_t at)
    {
        return at * made.group_count_ / fleet.size();
    };
    const auto self_at = static_cast<std::size_t>(
        std::find_if(fleet.begin(), fleet.end(), is_self) - fleet.begin());
    made.own_group_ = group_of(self_at);
    for (std::size_t n = 0; n < fleet.size(); ++n)
    {
        if (group_of(n) == made.own_group_)
        {
            made.members_.push_back(fleet[n].peer);
        }
    }
    return made;
}

std::set<server_id>
gateway_groups::in_group_servers(const std::vector<const known_server*>& servers) const
{
    std::vector<std::pair<std::uint64_t, const server_id*>> local;
    for (const known_server* it : servers)
    {
        if (is_single_group_ || it->entry.zone == zone_)
        {
            local.emplace_back(seeded_hash(it->entry.id.str(), 0), &it->entry.id);
        }
    }
    std::sort(local.begin(),
              local.end(),
              [](const auto& one, const auto& other) { return one.first < other.first; });
    const std::size_t max_per_group = (local.size() + group_count_ - 1) / group_count_;
    std::vector<std::size_t> counts(group_count_);
    std::set<server_id> in_group;
    for (const auto& [hash, id] : local)
    {
        const std::size_t group = choose_group(*id, counts, max_per_group);
        ++counts[group];
        if (group == own_group_)
        {
            in_group.insert(*id);
        }
    }
    return in_group;
}

} // namespace camphorrock
