#pragma once

// Cuts ranges out of a list of rows that each carry a `range`.

#include "core/base/key_hash.hpp"

#include <vector>

namespace camphorrock
{

// Takes `range` out of every row for which `is_cut(row)` holds; what is left of such a
// row on either side stays as a row of its own. O(number of rows).
template<class Row, class Predicate>
void cut_range(std::vector<Row>& rows, const hash_range& range, Predicate is_cut)
{
    std::vector<Row> kept;
    for (const Row& it : rows)
    {
        if (!it.range.overlaps(range) || !is_cut(it))
        {
            kept.push_back(it);
            continue;
        }
        if (it.range.first < range.first)
        {
            kept.push_back(it);
            kept.back().range.last = key_hash{range.first.value - 1};
        }
        if (range.last < it.range.last)
        {
            kept.push_back(it);
            kept.back().range.first = key_hash{range.last.value + 1};
        }
    }
    rows.swap(kept);
}

} // namespace camphorrock
