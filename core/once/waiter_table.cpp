#include "core/once/waiter_table.hpp"

namespace camphorrock
{

void waiter_table::add(waiter_id waiter, row added)
{
    by_deadline_.emplace(added.deadline, waiter);
    rows_.emplace(waiter, std::move(added));
}

std::optional<waiter_table::row> waiter_table::remove(waiter_id waiter)
{
    auto it = rows_.find(waiter);
    if (it == rows_.end())
    {
        return std::nullopt;
    }
    row found = std::move(it->second);
    by_deadline_.erase({found.deadline, waiter});
    rows_.erase(it);
    return found;
}

std::vector<waiter_id> waiter_table::expired(time_point now) const
{
    std::vector<waiter_id> found;
    for (const auto& [deadline, waiter] : by_deadline_)
    {
        if (now < deadline)
        {
            break;
        }
        found.push_back(waiter);
    }
    return found;
}

std::optional<time_point> waiter_table::next_deadline() const
{
    if (by_deadline_.empty())
    {
        return std::nullopt;
    }
    return by_deadline_.begin()->first;
}

} // namespace camphorrock
