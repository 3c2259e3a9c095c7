#include "core/config/config_quorum.hpp"

#include "core/ownership/majority.hpp"

#include <algorithm>
#include <iterator>

namespace camphorrock
{

config_quorum::config_quorum(config_version version,
                             const std::vector<shard_record>& records)
    : version_(version)
{
    std::set<instance_id> queried;
    for (const shard_record& record : records)
    {
        if (record.voters.empty())
        {
            continue;
        }
        shards_.push_back({record.voters, record.previous_voters});
        for (const voter_entry& it : all_voters(record))
        {
            if (queried.insert(it.id).second)
            {
                queries_.push_back({it, record.shard, record.version});
            }
        }
    }
}

void config_quorum::on_voter_version(const instance_id& voter, config_version version)
{
    if (version >= version_)
    {
        confirmed_.insert(voter);
    }
}

bool config_quorum::has_quorum() const
{
    return std::all_of(
        shards_.begin(),
        shards_.end(),
        [&](const voter_sets& it)
        { return is_joint_majority(it.voters, it.previous_voters, confirmed_); });
}

std::vector<config_quorum::voter_query> config_quorum::pending_queries() const
{
    std::vector<voter_query> pending;
    std::copy_if(queries_.begin(),
                 queries_.end(),
                 std::back_inserter(pending),
                 [&](const voter_query& it)
                 { return !confirmed_.contains(it.voter.id); });
    return pending;
}

} // namespace camphorrock
