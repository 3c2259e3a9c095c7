#include "core/routing/route_table.hpp"

#include <set>

namespace camphorrock
{

bool route_table::update_if_newer(const shard_record& record)
{
    shard_record& stored = records_[record.shard];
    if (record.version <= stored.version)
    {
        return false;
    }
    stored = record;
    return true;
}

const shard_record* route_table::record_of(const shard_id& shard) const
{
    auto it = records_.find(shard);
    return it == records_.end() ? nullptr : &it->second;
}

std::size_t route_table::scheduler_count() const
{
    std::set<instance_id> found;
    for (const auto& [shard, record] : records_)
    {
        for (const server_entry& it : record.servers)
        {
            if (!it.scheduler.empty())
            {
                found.insert(it.scheduler);
            }
        }
    }
    return found.size();
}

route route_table::find(const shard_id& shard, key_hash at) const
{
    route found;
    const shard_record* record = record_of(shard);
    if (record == nullptr)
    {
        return found;
    }
    found.version = record->version;
    const partition_entry* partition = find_partition(*record, at);
    bool has_owner = partition != nullptr && !partition->owner.empty();
    const server_entry* server =
        has_owner ? find_server(*record, partition->owner) : nullptr;
    if (server == nullptr || server->scheduler.empty())
    {
        return found;
    }
    found.kind = server->scheduler == self_ ? route_kind::local : route_kind::forward;
    found.server = server->id;
    found.address = server->address;
    found.scheduler = server->scheduler;
    found.peer = server->scheduler_peer;
    found.since = partition->since;
    return found;
}

} // namespace camphorrock
