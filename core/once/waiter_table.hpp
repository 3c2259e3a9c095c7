#pragma once

// The requests that wait for an answer, with their deadlines.

#include "core/base/time.hpp"
#include "core/once/once_actions.hpp"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphorrock
{

class waiter_table
{
public:
    struct row
    {
        once_key key;
        time_point deadline;
    };

    void add(waiter_id waiter, row what);

    // The row of the waiter, which is gone from the table then; none if it was not there.
    std::optional<row> remove(waiter_id waiter);

    // The waiters whose deadline has come, earliest first. They stay until removed.
    std::vector<waiter_id> due(time_point now) const;

    std::optional<time_point> next_deadline() const;

private:
    struct waiter_hash
    {
        std::size_t operator()(waiter_id it) const noexcept
        {
            return it.value;
        }
    };

    std::unordered_map<waiter_id, row, waiter_hash> rows_;
    std::set<std::pair<time_point, waiter_id>> by_deadline_;
};

} // namespace camphorrock
