#include "core/ownership/shard_record.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

result<void> invalid(const shard_record& record, const std::string& what)
{
    return fail(error_code::invalid_argument,
                "shard " + record.shard.str() + ": " + what);
}

bool is_empty_or_known(const shard_record& record, const server_id& id)
{
    return id.empty() || find_server(record, id) != nullptr;
}

result<void> validate_coverage(const shard_record& record)
{
    std::uint64_t next = 0;
    bool is_complete = record.partitions.empty();
    for (const partition_entry& it : record.partitions)
    {
        if (is_complete || it.range.first.value != next || it.range.last < it.range.first)
        {
            return invalid(
                record, "partition " + to_string(it.range) + " leaves a gap or overlaps");
        }
        is_complete = it.range.last == hash_range().last;
        next = it.range.last.value + 1;
    }
    if (!is_complete)
    {
        return invalid(record, "the partitions do not reach the end of the key space");
    }
    return {};
}

result<void> validate_servers(const shard_record& record)
{
    for (std::size_t n = 0; n < record.servers.size(); ++n)
    {
        if (n > 0 && !(record.servers[n - 1].id < record.servers[n].id))
        {
            return invalid(record, "servers are not sorted or a name stands twice");
        }
        if (record.version < record.servers[n].since)
        {
            return invalid(record,
                           "server " + record.servers[n].id.str() +
                               " is newer than the record");
        }
    }
    return {};
}

} // namespace

const partition_entry* find_partition(const shard_record& record, key_hash at)
{
    auto it = std::lower_bound(record.partitions.begin(),
                               record.partitions.end(),
                               at,
                               [](const partition_entry& entry, key_hash value)
                               { return entry.range.last < value; });
    bool is_found = it != record.partitions.end() && it->range.contains(at);
    return is_found ? &*it : nullptr;
}

const server_entry* find_server(const shard_record& record, const server_id& id)
{
    auto it = std::lower_bound(record.servers.begin(),
                               record.servers.end(),
                               id,
                               [](const server_entry& entry, const server_id& name)
                               { return entry.id < name; });
    bool is_found = it != record.servers.end() && it->id == id;
    return is_found ? &*it : nullptr;
}

result<void> validate(const shard_record& record)
{
    BOOST_LEAF_CHECK(validate_coverage(record));
    BOOST_LEAF_CHECK(validate_servers(record));
    for (const partition_entry& it : record.partitions)
    {
        if (!is_empty_or_known(record, it.owner) ||
            !is_empty_or_known(record, it.moving_to))
        {
            return invalid(
                record, "partition " + to_string(it.range) + " names an unknown server");
        }
        if (record.version < it.since)
        {
            return invalid(
                record, "partition " + to_string(it.range) + " is newer than the record");
        }
    }
    return {};
}

} // namespace camphorrock
