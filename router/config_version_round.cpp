#include "router/config_version_round.hpp"

#include <algorithm>

namespace camphorrock
{

void config_version_round::begin(std::uint64_t round, time_point sent_at)
{
    if (round == round_)
    {
        return;
    }
    round_ = round;
    sent_at_ = sent_at;
    versions_.clear();
}

std::optional<config_version>
config_version_round::on_answer(std::uint64_t round,
                                const instance_id& voter,
                                const lease_vote_answer& answer,
                                const std::vector<voter_entry>& voters)
{
    bool is_voter = std::any_of(voters.begin(),
                                voters.end(),
                                [&](const voter_entry& it) { return it.id == voter; });
    bool is_counted = answer.ok && answer.config != config_version();
    if (round != round_ || !is_voter || !is_counted)
    {
        return std::nullopt;
    }
    versions_[voter] = answer.config;
    if (2 * versions_.size() <= voters.size())
    {
        return std::nullopt;
    }
    config_version highest;
    for (const auto& [id, version] : versions_)
    {
        highest = std::max(highest, version);
    }
    return highest;
}

} // namespace camphorrock
