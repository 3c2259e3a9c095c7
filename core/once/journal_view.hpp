#pragma once

// The claims that the journals of a shard record, as of one complete load: for each
// router the number of its next batch, and the claims that neither a release nor a fence
// has ended. Each load builds a new view, because a journal whose batches have all passed
// their retention starts again at number 0.

#include "core/once/journal_batch.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace camphorrock
{

// A range whose requests a router may admit.
struct journal_claim
{
    hash_range range;
    epoch since;
};

class journal_view
{
public:
    // Applies one batch. The batches of one router must be applied in the order of their
    // numbers. O(entries * claims).
    void apply(const stored_batch& stored);

    // The number of the router's next batch; 0 if it has no batch.
    std::uint64_t next_number(const instance_id& router) const;

    // True if a router other than `self` claims part of the range at an epoch above
    // `since`. O(claims).
    bool
    is_superseded(const instance_id& self, const hash_range& range, epoch since) const;

    // The routers other than `self` that claim part of the range at an epoch below
    // `since`. O(claims).
    std::vector<instance_id>
    older_claimants(const instance_id& self, const hash_range& range, epoch since) const;

private:
    struct journal
    {
        std::uint64_t next_number = 0;
        std::vector<journal_claim> claims;
    };

    static void apply(journal& to, const journal_entry& entry);

    std::map<instance_id, journal> journals_;
};

} // namespace camphorrock
