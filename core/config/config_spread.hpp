#pragma once

// Decides when a version of the configuration counts as known: once a majority of the
// voters of each shard has it. From then on no router can hear from a majority without
// hearing of the version, so none serves with an older one beyond the freshness bound,
// whether or not it reaches the store.
//
//     config_spread spread(version, records);      // read after the version was written
//     spread.answered(voter, version_there);
//     if (spread.is_known()) ...
//
// O(voters) memory; the records are not kept.

#include "core/config/config_version.hpp"
#include "core/ownership/shard_record.hpp"

#include <set>
#include <vector>

namespace camphorrock
{

class config_spread
{
public:
    // Without records, as before the first configuration, the version is known.
    config_spread(config_version version, const std::vector<shard_record>& records);

    // A voter told its version.
    void answered(const instance_id& voter, config_version version);

    bool is_known() const;

    // A voter and a shard whose record names it.
    struct question
    {
        voter_entry voter;
        shard_id shard;
        epoch version; // of the record
    };

    // The voters that are not known to have the version, each once.
    std::vector<question> open_questions() const;

private:
    struct voter_sets
    {
        std::vector<voter_entry> voters;
        std::vector<voter_entry> previous_voters;
    };

    config_version version_;
    std::vector<voter_sets> shards_;
    std::vector<question> questions_; // one a voter
    std::set<instance_id> known_;
};

} // namespace camphorrock
