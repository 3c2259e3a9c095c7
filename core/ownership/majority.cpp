#include "core/ownership/majority.hpp"

#include <algorithm>

namespace camphorrock
{

bool is_majority(const std::vector<voter_entry>& voters,
                 const std::set<instance_id>& answered)
{
    auto n =
        std::count_if(voters.begin(),
                      voters.end(),
                      [&](const voter_entry& it) { return answered.contains(it.id); });
    return static_cast<std::size_t>(n) * 2 > voters.size();
}

bool is_joint_majority(const std::vector<voter_entry>& voters,
                       const std::vector<voter_entry>& previous_voters,
                       const std::set<instance_id>& answered)
{
    return is_majority(voters, answered) &&
           (previous_voters.empty() || is_majority(previous_voters, answered));
}

std::vector<voter_entry> all_voters(const shard_record& record)
{
    std::vector<voter_entry> all = record.voters;
    for (const voter_entry& it : record.previous_voters)
    {
        if (std::find(all.begin(), all.end(), it) == all.end())
        {
            all.push_back(it);
        }
    }
    return all;
}

} // namespace camphorrock
