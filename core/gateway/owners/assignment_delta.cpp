#include "core/gateway/owners/assignment_delta.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

bool starts_before(const assigned_key_range& one, const assigned_key_range& other)
{
    return one.keys.first < other.keys.first;
}

bool contains_range(const std::vector<assigned_key_range>& sorted,
                    const assigned_key_range& wanted)
{
    auto it = std::lower_bound(sorted.begin(), sorted.end(), wanted, starts_before);
    return it != sorted.end() && *it == wanted;
}

// `sorted` is sorted by the first key and contains no overlaps.
bool overlaps_any(const std::vector<assigned_key_range>& sorted,
                  const assigned_key_range& range)
{
    auto ends_before = [](const assigned_key_range& it, unsigned first)
    {
        return it.keys.last < first;
    };
    auto it =
        std::lower_bound(sorted.begin(), sorted.end(), range.keys.first, ends_before);
    return it != sorted.end() && it->keys.first <= range.keys.last;
}

const std::vector<assigned_key_range>& key_ranges_of(const key_assignment& it,
                                                     const service_name& service)
{
    static const std::vector<assigned_key_range> none;
    const service_key_ranges* row = it.find_service(service);
    return row == nullptr ? none : row->key_ranges;
}

key_range_changes difference(const service_name& service,
                             const std::vector<assigned_key_range>& from,
                             const std::vector<assigned_key_range>& to)
{
    key_range_changes made{service, {}, {}};
    for (const assigned_key_range& it : to)
    {
        if (!contains_range(from, it))
        {
            made.changed.push_back(it);
        }
    }
    for (const assigned_key_range& it : from)
    {
        if (!overlaps_any(to, it))
        {
            made.removed_first_keys.push_back(it.keys.first);
        }
    }
    return made;
}

service_key_ranges apply(const std::vector<assigned_key_range>& base,
                         const key_range_changes& changes)
{
    service_key_ranges made{changes.service, changes.changed};
    for (const assigned_key_range& it : base)
    {
        const bool is_removed = std::binary_search(changes.removed_first_keys.begin(),
                                                   changes.removed_first_keys.end(),
                                                   it.keys.first);
        if (!is_removed && !overlaps_any(changes.changed, it))
        {
            made.key_ranges.push_back(it);
        }
    }
    std::sort(made.key_ranges.begin(), made.key_ranges.end(), starts_before);
    return made;
}

} // namespace

assignment_delta difference(const key_assignment& from, const key_assignment& to)
{
    assignment_delta made{from.version, to.version, to.writer, to.epoch_limit, {}};
    for (const service_key_ranges& row : to.services)
    {
        made.services.push_back(
            difference(row.service, key_ranges_of(from, row.service), row.key_ranges));
    }
    return made;
}

std::optional<key_assignment> apply(const key_assignment& base,
                                    const assignment_delta& delta)
{
    if (base.version != delta.base)
    {
        return std::nullopt;
    }
    key_assignment made{delta.version, delta.writer, delta.epoch_limit, {}};
    for (const key_range_changes& it : delta.services)
    {
        made.services.push_back(apply(key_ranges_of(base, it.service), it));
    }
    return made;
}

void assignment_history::add_assignment(const key_assignment& next)
{
    if (next.version.term != last_.version.term)
    {
        steps_.clear();
    }
    else if (next.version > last_.version)
    {
        steps_.push_back(difference(last_, next));
    }
    if (steps_.size() > max_steps_)
    {
        steps_.pop_front();
    }
    last_ = next;
}

std::optional<std::vector<assignment_delta>>
assignment_history::steps_since(assignment_version known) const
{
    auto first =
        std::find_if(steps_.begin(),
                     steps_.end(),
                     [&](const assignment_delta& it) { return it.base == known; });
    if (first == steps_.end())
    {
        return std::nullopt;
    }
    return std::vector<assignment_delta>(first, steps_.end());
}

} // namespace camphorrock
