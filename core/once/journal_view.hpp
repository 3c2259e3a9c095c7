#pragma once

// What the journals of a shard say about claims, as of one complete read: for each router
// the number of its next batch and the claims that neither a release nor a fence has
// ended. A view is built anew from each read, since a journal whose batches have all
// passed their retention starts again at number 0.

#include "core/once/journal_batch.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace camphorrock
{

// A range that a router may admit requests of.
struct journal_claim
{
    hash_range range;
    epoch since;
};

class journal_view
{
public:
    // Takes in one batch. Batches of one router come in the order of their numbers.
    // O(entries * claims).
    void apply(const stored_batch& stored);

    // The number of the batch that the router would write next.
    std::uint64_t next_number(const instance_id& router) const;

    // True where another router than `self` has a claim above `since` in the range.
    bool
    is_superseded(const instance_id& self, const hash_range& range, epoch since) const;

    // The other routers that have a claim below `since` in the range.
    std::vector<instance_id>
    claimants(const instance_id& self, const hash_range& range, epoch since) const;

private:
    struct journal
    {
        std::uint64_t next = 0;
        std::vector<journal_claim> claims;
    };

    static void apply(journal& to, const journal_entry& entry);

    std::map<instance_id, journal> journals_;
};

} // namespace camphorrock
