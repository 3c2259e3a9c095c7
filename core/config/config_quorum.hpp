#pragma once

// Decides whether a quorum knows a version of the configuration: a majority of the voters
// of each shard. From then on a router that has answers of a majority has learned of the
// version, so no router serves with an older one beyond the freshness bound, whether or
// not it reaches the store.
//
//     config_quorum quorum(version, records);
//     quorum.on_voter_version(voter, version_at_voter);
//     if (quorum.has_quorum()) ...
//
// The records must be read after the version was written. O(voters) memory; the records
// are not kept.

#include "core/config/config_version.hpp"
#include "core/ownership/shard_record.hpp"

#include <set>
#include <vector>

namespace camphorrock
{

class config_quorum
{
public:
    // Without records, as before the first configuration, there is a quorum at once.
    config_quorum(config_version version, const std::vector<shard_record>& records);

    // A voter reported the version that it has. A later version counts as well.
    void on_voter_version(const instance_id& voter, config_version version);

    bool has_quorum() const;

    // A voter to query, and a shard whose record names it.
    struct voter_query
    {
        voter_entry voter;
        shard_id shard;
        epoch version; // of the record
    };

    // The voters that have not yet reported the version or a later one, each once.
    std::vector<voter_query> pending_queries() const;

private:
    struct voter_sets
    {
        std::vector<voter_entry> voters;
        std::vector<voter_entry> previous_voters;
    };

    config_version version_;
    std::vector<voter_sets> shards_;
    std::vector<voter_query> queries_; // one per voter
    std::set<instance_id> confirmed_;  // voters that have the version
};

} // namespace camphorrock
