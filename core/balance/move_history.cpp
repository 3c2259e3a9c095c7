#include "core/balance/move_history.hpp"

#include <algorithm>
#include <iterator>

namespace camphorrock
{

void move_history::add(const hash_range& range, double keys, time_point now)
{
    hash_range joined = range;
    auto it = ranges_.upper_bound(range.last);
    while (it != ranges_.begin() && std::prev(it)->second.last >= range.first)
    {
        --it;
        joined.first = std::min(joined.first, it->first);
        joined.last = std::max(joined.last, it->second.last);
        it = ranges_.erase(it);
    }
    ranges_.emplace(joined.first, moved_range{joined.last, now});
    moves_.push_back({now, joined.first, keys});
    keys_ += keys;
}

void move_history::expire(time_point now)
{
    while (!moves_.empty() && moves_.front().at + period_ <= now)
    {
        const move& old = moves_.front();
        const auto it = ranges_.find(old.first);
        if (it != ranges_.end() && it->second.at == old.at)
        {
            ranges_.erase(it);
        }
        keys_ -= old.keys;
        moves_.pop_front();
    }
    if (moves_.empty())
    {
        keys_ = 0; // clears accumulated rounding errors
    }
}

bool move_history::overlaps(const hash_range& range) const
{
    const auto after = ranges_.upper_bound(range.last);
    return after != ranges_.begin() && std::prev(after)->second.last >= range.first;
}

} // namespace camphorrock
