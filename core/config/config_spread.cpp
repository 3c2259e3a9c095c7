#include "core/config/config_spread.hpp"

#include "core/ownership/majority.hpp"

#include <algorithm>
#include <iterator>

namespace camphorrock
{

config_spread::config_spread(config_version version,
                             const std::vector<shard_record>& records)
    : version_(version)
{
    std::set<instance_id> asked;
    for (const shard_record& record : records)
    {
        if (record.voters.empty())
        {
            continue;
        }
        shards_.push_back({record.voters, record.previous_voters});
        for (const voter_entry& it : all_voters(record))
        {
            if (asked.insert(it.id).second)
            {
                questions_.push_back({it, record.shard, record.version});
            }
        }
    }
}

void config_spread::answered(const instance_id& voter, config_version version)
{
    if (version >= version_)
    {
        known_.insert(voter);
    }
}

bool config_spread::is_known() const
{
    return std::all_of(
        shards_.begin(),
        shards_.end(),
        [&](const voter_sets& it)
        { return is_joint_majority(it.voters, it.previous_voters, known_); });
}

std::vector<config_spread::question> config_spread::open_questions() const
{
    std::vector<question> open;
    std::copy_if(questions_.begin(),
                 questions_.end(),
                 std::back_inserter(open),
                 [&](const question& it) { return !known_.contains(it.voter.id); });
    return open;
}

} // namespace camphorrock
