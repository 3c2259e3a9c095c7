#pragma once

// Collects the configuration versions that the voters report in one round of requests.
// Once a majority has answered, the highest version is the one that the fleet had when
// the round was sent.

#include "codec/messages.hpp"
#include "core/base/time.hpp"
#include "core/config/config_version.hpp"
#include "core/ownership/shard_record.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace camphorrock
{

class config_version_round
{
public:
    // Starts a round. Answers to earlier rounds no longer count. No effect if this round
    // has begun already.
    void begin(std::uint64_t round, time_point sent_at);

    // Takes a voter's answer to a round. Returns the highest version once a majority of
    // `voters` has answered, else nullopt. A voter that does not grant its lease vote, or
    // has no configuration yet, does not count, since a restart may have lost the version
    // that it knew.
    std::optional<config_version> on_answer(std::uint64_t round,
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
