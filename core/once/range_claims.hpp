#pragma once

// The ranges that a router admits requests of, and the steps that lead there:
//
//   claiming   a claimed_entry is to be written to the own journal
//   claimed    it is written; the journals of the shard are to be read after that
//   checking   a read that began after the claim was written is under way, or is being
//              evaluated; routers that still claim the range below our epoch are fenced
//   ready      no one else can admit requests of the range at our epoch or below
//   releasing  as ready for what was admitted before, and closed to new requests
//
// Why two routers are never ready for one range at once: the claim is written before the
// read, so of two claimants the later reader sees the earlier claim. The one at the lower
// epoch gives up; the one at the higher epoch fences the other's journal first, whose
// next batch then meets the fence. See docs/DESIGN.md, "At most once".

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
    epoch since;
    claim_state state = claim_state::claiming;
    bool is_release_written =
        false; // for `releasing`: the entry was passed to the journal
};

class range_claims
{
public:
    // Begins to claim a range; whatever was held of it before is replaced.
    void take(const hash_range& range, epoch since);

    // Gives up a range.
    void drop(const hash_range& range);

    // Gives up what a fence forbids: the range below the fence's epoch.
    void drop_fenced(const fenced_entry& fence);

    // All rows start again with claiming, or with releasing where they were.
    void restart();

    // Closes a range to new requests. Returns the parts that were not ready yet: nothing
    // was admitted there, so they are given up at once.
    std::vector<claim_row> release(const hash_range& range);

    void on_claim_written(const claimed_entry& claim);

    // True where a read of the journals is needed.
    bool needs_read() const;

    void on_read_started();
    void on_read_failed();

    // Drops superseded rows, makes rows ready, and returns what is to be fenced first, by
    // router. Only rows that are checking take part.
    std::map<instance_id, std::vector<fenced_entry>> evaluate(const instance_id& self,
                                                              const journal_view& view);

    // The row that holds the hash, or null. O(log n).
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
    void move_all(claim_state from, claim_state to);

    void sort();

    std::vector<claim_row> rows_; // sorted by range
};

} // namespace camphorrock
