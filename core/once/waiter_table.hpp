#pragma once

// The requests that wait for an answer, with their deadlines. O(log n) per change.

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

    void add(waiter_id waiter, row added);

    // Removes the waiter and returns its row; none if the table has no such waiter.
    std::optional<row> remove(waiter_id waiter);

    // The waiters whose deadline is at or before `now`, earliest first. They stay in the
    // table until remove().
    std::vector<waiter_id> expired(time_point now) const;

    // The earliest deadline; none if there are no waiters.
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
