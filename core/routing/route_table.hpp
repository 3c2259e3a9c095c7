#pragma once

// Finds where a router sends a request, from its copy of the shard records. The version
// of each record only increases.
//
//     table.update_if_newer(record);
//     route to = table.find(shard, target.hash);
//     if (to.kind == route_kind::forward) ...  // send the request to to.peer
//
// Memory: one record per shard. find() is O(log partitions + log servers).

#include "core/ownership/shard_record.hpp"
#include "core/routing/refusal.hpp"

#include <map>

namespace camphorrock
{

enum class route_kind
{
    local,   // this router schedules the key's owner
    forward, // another router schedules the key's owner
    refuse,  // the key has no owner, or its owner has no scheduler
};

struct route
{
    route_kind kind = route_kind::refuse;
    refusal why = refusal::no_owner; // for `refuse`
    server_id server;
    endpoint address; // of the server
    instance_id scheduler;
    endpoint peer; // of the scheduler
    epoch since;   // `since` of the partition
    epoch version; // of the record
};

class route_table
{
public:
    explicit route_table(instance_id self) : self_(std::move(self)) {}

    // Stores the record and returns true if it is newer than the stored one of its shard.
    bool update_if_newer(const shard_record& record);

    // Returns the stored record of the shard, or null.
    const shard_record* record_of(const shard_id& shard) const;

    route find(const shard_id& shard, key_hash at) const;

    // Returns the number of routers that schedule servers of any shard. O(n log n) in
    // the servers of all shards.
    std::size_t scheduler_count() const;

    const std::map<shard_id, shard_record>& all() const
    {
        return records_;
    }

private:
    instance_id self_;
    std::map<shard_id, shard_record> records_;
};

} // namespace camphorrock
