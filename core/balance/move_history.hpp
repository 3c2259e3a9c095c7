#pragma once

// Remembers which ranges moved lately and how many keys that were, for the two bounds on
// churn: keys moved in a period, and none moved twice in it. O(log n); memory: one node a
// move of the period.

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

    // `keys` counts towards keys(). Ranges that it overlaps are joined with it.
    void add(const hash_range& range, double keys, time_point now);

    // Forgets what has been long enough ago.
    void forget(time_point now);

    // Did a key of that range move in the period?
    bool overlaps(const hash_range& range) const;

    // Keys moved in the period.
    double keys() const
    {
        return keys_;
    }

    std::size_t size() const
    {
        return moves_.size();
    }

private:
    struct move
    {
        time_point at;
        key_hash first; // of the range as it was joined
        double keys = 0;
    };

    struct moved_range
    {
        key_hash last;
        time_point at;
    };

    duration period_;
    std::deque<move> moves_;
    std::map<key_hash, moved_range> ranges_; // by first; they do not overlap
    double keys_ = 0;
};

} // namespace camphorrock
