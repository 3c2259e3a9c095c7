#pragma once

// The ranges that moved within a period and the number of keys in them, for the two
// bounds on churn: the number of keys that move in a period, and no key moving twice in
// it. Calls are O(log n) amortized; memory: one entry for each move of the period.

#include "core/base/key_hash.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <deque>
#include <map>

namespace camphorrock
{

class move_history
{
public:
    explicit move_history(duration period) : period_(period) {}

    // Adds a move. `keys` counts towards keys(). Earlier ranges that overlap this one are
    // joined with it and expire with it.
    void add(const hash_range& range, double keys, time_point now);

    // Removes moves that are older than the period.
    void expire(time_point now);

    // Returns whether a key of the range moved in the period.
    bool overlaps(const hash_range& range) const;

    // The number of keys that moved in the period.
    double keys() const
    {
        return keys_;
    }

    // The number of moves in the period.
    std::size_t size() const
    {
        return moves_.size();
    }

private:
    struct move
    {
        time_point at;
        key_hash first; // of the joined range
        double keys = 0;
    };

    struct moved_range
    {
        key_hash last;
        time_point at;
    };

    duration period_;
    std::deque<move> moves_;
    std::map<key_hash, moved_range> ranges_; // key: first hash; ranges do not overlap
    double keys_ = 0;
};

} // namespace camphorrock
