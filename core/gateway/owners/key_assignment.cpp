#include "core/gateway/owners/key_assignment.hpp"

#include <algorithm>

namespace camphorrock
{

const service_key_ranges* key_assignment::find_service(const service_name& service) const
{
    auto it = std::find_if(services.begin(),
                           services.end(),
                           [&](const service_key_ranges& row)
                           { return row.service == service; });
    return it == services.end() ? nullptr : &*it;
}

service_key_ranges* key_assignment::find_service(const service_name& service)
{
    const key_assignment& self = *this;
    return const_cast<service_key_ranges*>(self.find_service(service));
}

const assigned_key_range* key_assignment::find(const service_name& service,
                                               shard_key key) const
{
    const service_key_ranges* row = find_service(service);
    if (row == nullptr)
    {
        return nullptr;
    }
    auto it = std::upper_bound(row->key_ranges.begin(),
                               row->key_ranges.end(),
                               key.value,
                               [](unsigned value, const assigned_key_range& range)
                               { return value < range.keys.first; });
    if (it == row->key_ranges.begin())
    {
        return nullptr;
    }
    --it;
    return it->keys.contains(key) ? &*it : nullptr;
}

} // namespace camphorrock
