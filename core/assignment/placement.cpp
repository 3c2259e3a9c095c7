#include "core/assignment/placement.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace camphorrock
{
namespace
{

const server_id& final_owner(const partition_entry& partition)
{
    return partition.moving_to.empty() ? partition.owner : partition.moving_to;
}

bool is_among(const std::vector<router_instance>& list, const instance_id& id)
{
    return std::any_of(
        list.begin(), list.end(), [&](const router_instance& it) { return it.id == id; });
}

} // namespace

std::optional<server_id> choose_owner(const shard_record& record,
                                      const std::set<server_id>& candidates)
{
    std::map<server_id, double> width;
    for (const partition_entry& it : record.partitions)
    {
        width[final_owner(it)] +=
            static_cast<double>(it.range.last.value - it.range.first.value);
    }
    std::optional<server_id> best;
    for (const server_id& it : candidates)
    {
        if (!best || width[it] < width[*best])
        {
            best = it;
        }
    }
    return best;
}

std::size_t count_partitions(const shard_record& record, const server_id& id)
{
    auto n =
        std::count_if(record.partitions.begin(),
                      record.partitions.end(),
                      [&](const partition_entry& it) { return final_owner(it) == id; });
    return static_cast<std::size_t>(n);
}

std::size_t count_servers(const shard_record& record, const instance_id& id)
{
    auto n = std::count_if(record.servers.begin(),
                           record.servers.end(),
                           [&](const server_entry& it) { return it.scheduler == id; });
    return static_cast<std::size_t>(n);
}

std::optional<router_instance>
choose_scheduler(const shard_record& record,
                 const data_centre& zone,
                 const std::vector<router_instance>& routers)
{
    auto rank = [&](const router_instance& it)
    {
        return std::tuple(count_servers(record, it.id), it.zone != zone, it.id);
    };
    auto best =
        std::min_element(routers.begin(),
                         routers.end(),
                         [&](const router_instance& one, const router_instance& other)
                         { return rank(one) < rank(other); });
    return best == routers.end() ? std::nullopt : std::optional(*best);
}

std::vector<voter_entry> choose_voters(const std::vector<router_instance>& kept,
                                       const std::vector<router_instance>& routers,
                                       std::size_t limit)
{
    std::vector<router_instance> chosen = kept;
    std::vector<router_instance> spare;
    std::map<data_centre, std::size_t> voters_in;
    for (const router_instance& it : kept)
    {
        ++voters_in[it.zone];
    }
    for (const router_instance& it : routers)
    {
        if (!is_among(kept, it.id))
        {
            spare.push_back(it);
        }
    }
    std::size_t max_count = std::min(limit, kept.size() + spare.size());
    std::size_t target_count =
        max_count % 2 == 0 && max_count > 0 ? max_count - 1 : max_count;
    while (chosen.size() < target_count && !spare.empty())
    {
        auto rank = [&](const router_instance& it)
        {
            return std::tuple(voters_in[it.zone], it.id);
        };
        auto best =
            std::min_element(spare.begin(),
                             spare.end(),
                             [&](const router_instance& one, const router_instance& other)
                             { return rank(one) < rank(other); });
        ++voters_in[best->zone];
        chosen.push_back(*best);
        spare.erase(best);
    }
    std::vector<voter_entry> voters;
    voters.reserve(chosen.size());
    for (const router_instance& it : chosen)
    {
        voters.push_back({it.id, it.peer});
    }
    return voters;
}

std::vector<hash_range> equal_ranges(std::size_t count)
{
    constexpr std::uint64_t last = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t n = std::max<std::uint64_t>(count, 1);
    std::uint64_t width = last / n + (last % n + 1) / n;
    std::vector<hash_range> ranges;
    for (std::uint64_t it = 0; it < n; ++it)
    {
        std::uint64_t first = it * width;
        ranges.push_back({{first}, {it + 1 == n ? last : first + width - 1}});
    }
    return ranges;
}

} // namespace camphorrock
