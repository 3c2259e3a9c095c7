#pragma once

// Collects, for one round of questions to the voters, the configuration versions that
// they know: once a majority has answered, the highest is what the fleet had when the
// round was sent.

#include "codec/messages.hpp"
#include "core/base/time.hpp"
#include "core/config/config_version.hpp"
#include "core/ownership/shard_record.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace camphorrock
{

class voter_round
{
public:
    // A round began. Answers of earlier ones no longer count.
    void begin(std::uint64_t round, time_point sent_at);

    // A voter's answer to a round. The highest version, once a majority of `voters`
    // answered. A voter that does not vouch, or has no configuration yet, may have
    // forgotten by a restart what it knew, so it does not count.
    std::optional<config_version> answered(std::uint64_t round,
                                           const instance_id& voter,
                                           const lease_vote_answer& answer,
                                           const std::vector<voter_entry>& voters);

    std::uint64_t round() const
    {
        return round_;
    }

    time_point sent_at() const
    {
        return sent_at_;
    }

private:
    std::uint64_t round_ = 0;
    time_point sent_at_;
    std::map<instance_id, config_version> versions_;
};

} // namespace camphorrock
