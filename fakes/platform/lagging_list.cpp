#include "fakes/platform/lagging_list.hpp"

#include <utility>

namespace camphorrock::fakes
{

void lagging_list::enter(instance_entry entry, time_point now)
{
    const instance_id id = entry.id;
    pending_.push_back({now, id, std::move(entry)});
}

void lagging_list::leave(const instance_id& id, time_point now)
{
    pending_.push_back({now, id, std::nullopt});
}

std::vector<instance_entry> lagging_list::read(time_point now)
{
    while (!pending_.empty() && pending_.front().at + lag_ <= now)
    {
        change next = std::move(pending_.front());
        pending_.pop_front();
        if (next.entry)
        {
            visible_[next.id] = std::move(*next.entry);
        }
        else
        {
            visible_.erase(next.id);
        }
    }
    std::vector<instance_entry> made;
    made.reserve(visible_.size());
    for (const auto& [id, it] : visible_)
    {
        made.push_back(it);
    }
    return made;
}

} // namespace camphorrock::fakes
