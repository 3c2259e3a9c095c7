#pragma once

// Counts the lease votes that voters grant in the rounds of one router, and computes
// until when the router holds authority.
//
// Authority is counted from the start of a round, since a voter may have granted its vote
// at any time after that. The votes of a round are counted against the voters that it was
// sent to. The last max_rounds rounds are kept, so that a vote that takes longer than
// lease_vote_period still counts.

#include "core/ownership/ownership_options.hpp"
#include "core/ownership/shard_record.hpp"

#include <cstdint>
#include <deque>
#include <set>

namespace camphorrock
{

class lease_vote_rounds
{
public:
    explicit lease_vote_rounds(duration authority_ttl) : authority_ttl_(authority_ttl) {}

    // Starts a round with the voters of this record and returns its number.
    std::uint64_t start(const shard_record& record, time_point now);

    // Counts the vote that `voter` granted in `round`. Unknown rounds are ignored.
    void answered(const instance_id& voter, std::uint64_t round);

    // Returns when the authority ends; time_point::min() if there never was any.
    time_point authority_until() const
    {
        return authority_until_;
    }

private:
    struct round
    {
        std::uint64_t number = 0;
        time_point sent_at;
        std::vector<voter_entry> voters;
        std::vector<voter_entry> previous_voters;
        std::set<instance_id> granted_by;
    };

    duration authority_ttl_;
    std::deque<round> rounds_;
    std::uint64_t last_number_ = 0;
    time_point authority_until_ = time_point::min();
};

} // namespace camphorrock
