#pragma once

// The ranges whose requests a router may admit, and the states of a take-over:
//
//   claiming   a claimed_entry is to be written to this router's journal
//   claimed    the entry is written; the journals of the shard must be loaded after that
//   checking   a load that began after the claim was written is in progress or is being
//              evaluated; routers that still claim the range at a lower epoch are fenced
//   ready      no other router can admit requests of the range at this epoch or below
//   releasing  as ready for requests admitted before; no new request is admitted
//
// Two routers are never ready for one range at the same time. Each writes its claim
// before it loads, so of two claimants the later loader sees the earlier claim. The one
// at the lower epoch drops its claim. The one at the higher epoch first fences the
// journal of the other, whose next batch then meets the fence. See docs/DESIGN.md, "At
// most once".

#include "core/once/journal_view.hpp"
#include "core/once/once_actions.hpp"

#include <map>
#include <vector>

namespace camphorrock
{

enum class claim_state
{
    claiming,
    claimed,
    checking,
    ready,
    releasing,
};

struct claim_row
{
    hash_range range;
    epoch since; // of the range; see journal_batch.hpp
    claim_state state = claim_state::claiming;
    bool is_release_queued = false; // for `releasing`: the entry was passed to the writer
};

class range_claims
{
public:
    // Begins to claim a range. Replaces existing rows within it.
    void start_claim(const hash_range& range, epoch since);

    // Drops all rows within a range.
    void remove(const hash_range& range);

    // Drops the rows that a fence ends: those of its range at epochs below its own.
    void remove_fenced(const fenced_entry& fence);

    // Puts all rows back to `claiming`, except that releasing rows stay `releasing` and
    // their releases have to be queued again.
    void restart();

    // Closes a range to new requests. Returns the parts that were not ready yet: no
    // request was admitted there, so they are dropped at once.
    std::vector<claim_row> release(const hash_range& range);

    void on_claim_written(const claimed_entry& claim);

    // True if a row waits for a load of the shard's journals.
    bool needs_load() const;

    void on_load_started();
    void on_load_failed();

    // Evaluates a load for the rows in `checking`: drops those that a claim at a higher
    // epoch supersedes, makes those without a rival claim ready, and returns the fences
    // that the others need first, by the router whose journal they go to.
    std::map<instance_id, std::vector<fenced_entry>> evaluate(const instance_id& self,
                                                              const journal_view& view);

    // The row whose range contains the hash, or null. O(log n).
    const claim_row* find(key_hash at) const;

    bool is_empty() const
    {
        return rows_.empty();
    }

    std::vector<claim_row>& rows()
    {
        return rows_;
    }

private:
    void replace_state(claim_state from, claim_state to);

    void sort();

    std::vector<claim_row> rows_; // disjoint, sorted by range
};

} // namespace camphorrock
