#include "core/ownership/lease_vote_rounds.hpp"

#include "core/ownership/majority.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr std::size_t max_rounds = 8;

} // namespace

std::uint64_t lease_vote_rounds::start(const shard_record& record, time_point now)
{
    ++last_number_;
    rounds_.push_back({last_number_, now, record.voters, record.previous_voters, {}});
    if (rounds_.size() > max_rounds)
    {
        rounds_.pop_front();
    }
    return last_number_;
}

void lease_vote_rounds::answered(const instance_id& voter, std::uint64_t number)
{
    auto it = std::find_if(rounds_.begin(),
                           rounds_.end(),
                           [&](const round& one) { return one.number == number; });
    if (it == rounds_.end())
    {
        return;
    }
    it->granted_by.insert(voter);
    if (!is_joint_majority(it->voters, it->previous_voters, it->granted_by))
    {
        return;
    }
    authority_until_ = std::max(authority_until_, it->sent_at + authority_ttl_);
    rounds_.erase(rounds_.begin(), std::next(it));
}

} // namespace camphorrock
