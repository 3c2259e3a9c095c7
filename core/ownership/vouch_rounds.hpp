#pragma once

// Counts the answers of the voters to one router's rounds and says until when the router
// holds authority.
//
// Authority counts from the sending of a round, since a voter may have answered at any
// time after it. A round is counted against the voters to whom it was sent. The last
// max_rounds rounds are kept, so that an answer slower than a period still counts.

#include "core/ownership/ownership_options.hpp"
#include "core/ownership/shard_record.hpp"

#include <cstdint>
#include <deque>
#include <set>

namespace camphorrock
{

class vouch_rounds
{
public:
    explicit vouch_rounds(duration authority_ttl) : authority_ttl_(authority_ttl) {}

    // Begins a round to the voters of this record and returns its number.
    std::uint64_t start(const shard_record& record, time_point now);

    void answered(const instance_id& voter, std::uint64_t round);

    // The end of the authority; the earliest time point where there was none.
    time_point authority_until() const
    {
        return until_;
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
    time_point until_ = time_point::min();
};

} // namespace camphorrock
