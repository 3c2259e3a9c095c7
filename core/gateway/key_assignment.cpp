#include "core/gateway/key_assignment.hpp"

#include <algorithm>

namespace camphorrock
{

const service_shares* key_assignment::find_service(const service_name& service) const
{
    auto it =
        std::find_if(services.begin(),
                     services.end(),
                     [&](const service_shares& row) { return row.service == service; });
    return it == services.end() ? nullptr : &*it;
}

service_shares* key_assignment::find_service(const service_name& service)
{
    const key_assignment& self = *this;
    return const_cast<service_shares*>(self.find_service(service));
}

const key_share* key_assignment::find(const service_name& service, shard_key key) const
{
    const service_shares* row = find_service(service);
    if (row == nullptr)
    {
        return nullptr;
    }
    auto it = std::upper_bound(row->shares.begin(),
                               row->shares.end(),
                               key.value,
                               [](unsigned value, const key_share& share)
                               { return value < share.keys.first; });
    if (it == row->shares.begin())
    {
        return nullptr;
    }
    --it;
    return it->keys.contains(key) ? &*it : nullptr;
}

} // namespace camphorrock
