#include "store/watched_keys.hpp"

namespace camphorrock
{

void watched_keys::apply_changes(const std::vector<store_entry>& changes)
{
    for (const store_entry& it : changes)
    {
        if (it.revision.value == 0)
        {
            keys_.erase(it.key);
        }
        else
        {
            keys_.insert(it.key);
        }
    }
}

std::vector<store_entry>
watched_keys::missing_from(const std::vector<store_entry>& read) const
{
    std::unordered_set<std::string> gone = keys_;
    for (const store_entry& it : read)
    {
        gone.erase(it.key);
    }
    std::vector<store_entry> made;
    made.reserve(gone.size());
    for (const std::string& key : gone)
    {
        made.push_back({key, "", {}});
    }
    return made;
}

} // namespace camphorrock
