#pragma once

// Subtraction of a range from a list of rows that each have a member `range`.

#include "core/base/key_hash.hpp"

#include <vector>

namespace camphorrock
{

// Removes `range` from the range of every row for which `matches(row)` is true. Each
// remainder below or above `range` is kept as a row of its own. O(rows).
template<class Row, class Predicate>
void subtract_range(std::vector<Row>& rows, const hash_range& range, Predicate matches)
{
    std::vector<Row> kept;
    for (const Row& it : rows)
    {
        if (!it.range.overlaps(range) || !matches(it))
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
