#include "core/gateway/assignment_delta.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

bool begins_before(const key_share& one, const key_share& other)
{
    return one.keys.first < other.keys.first;
}

bool has_share(const std::vector<key_share>& sorted, const key_share& wanted)
{
    auto it = std::lower_bound(sorted.begin(), sorted.end(), wanted, begins_before);
    return it != sorted.end() && *it == wanted;
}

// `sorted` by the first key, without overlaps among themselves.
bool overlaps_any(const std::vector<key_share>& sorted, const key_share& share)
{
    auto ends_before = [](const key_share& it, unsigned first)
    {
        return it.keys.last < first;
    };
    auto it =
        std::lower_bound(sorted.begin(), sorted.end(), share.keys.first, ends_before);
    return it != sorted.end() && it->keys.first <= share.keys.last;
}

const std::vector<key_share>& shares_of(const key_assignment& it,
                                        const service_name& service)
{
    static const std::vector<key_share> none;
    const service_shares* row = it.find_service(service);
    return row == nullptr ? none : row->shares;
}

share_changes difference(const service_name& service,
                         const std::vector<key_share>& from,
                         const std::vector<key_share>& to)
{
    share_changes made{service, {}, {}};
    for (const key_share& it : to)
    {
        if (!has_share(from, it))
        {
            made.changed.push_back(it);
        }
    }
    for (const key_share& it : from)
    {
        if (!overlaps_any(to, it))
        {
            made.gone.push_back(it.keys.first);
        }
    }
    return made;
}

service_shares apply(const std::vector<key_share>& base, const share_changes& changes)
{
    service_shares made{changes.service, changes.changed};
    for (const key_share& it : base)
    {
        const bool is_gone =
            std::binary_search(changes.gone.begin(), changes.gone.end(), it.keys.first);
        if (!is_gone && !overlaps_any(changes.changed, it))
        {
            made.shares.push_back(it);
        }
    }
    std::sort(made.shares.begin(), made.shares.end(), begins_before);
    return made;
}

} // namespace

assignment_delta difference(const key_assignment& from, const key_assignment& to)
{
    assignment_delta made{from.version, to.version, to.writer, to.limit, {}};
    for (const service_shares& row : to.services)
    {
        made.services.push_back(
            difference(row.service, shares_of(from, row.service), row.shares));
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
    key_assignment made{delta.version, delta.writer, delta.limit, {}};
    for (const share_changes& it : delta.services)
    {
        made.services.push_back(apply(shares_of(base, it.service), it));
    }
    return made;
}

void assignment_history::note(const key_assignment& next)
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
assignment_history::since(assignment_version known) const
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
