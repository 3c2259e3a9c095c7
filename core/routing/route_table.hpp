#pragma once

// Where a router sends a request: its copy of the shard records, which only move up.
//
//     table.offer(record);                       // ignored unless newer
//     route to = table.find(shard, target.hash);
//     if (to.kind == route_kind::forward) ...    // to.peer schedules to.server
//
// Memory: one record a shard. find() is O(log partitions).

#include "core/ownership/shard_record.hpp"
#include "core/routing/refusal.hpp"

#include <map>

namespace camphorrock
{

enum class route_kind
{
    local,   // this router schedules the owner
    forward, // another router does
    refuse,  // there is no owner or no scheduler
};

struct route
{
    route_kind kind = route_kind::refuse;
    refusal why = refusal::no_owner; // for `refuse`
    server_id server;
    endpoint address; // of the server
    instance_id scheduler;
    endpoint peer; // of the scheduler
    epoch since;   // of the partition
    epoch version; // of the record that said so
};

class route_table
{
public:
    explicit route_table(instance_id self) : self_(std::move(self)) {}

    // Takes the record if it is newer than what is held; true if it was taken.
    bool offer(const shard_record& record);

    // The record held for a shard, or null.
    const shard_record* record_of(const shard_id& shard) const;

    route find(const shard_id& shard, key_hash at) const;

    // Routers that schedule servers of any shard, by the records held.
    std::size_t schedulers() const;

    const std::map<shard_id, shard_record>& all() const
    {
        return records_;
    }

private:
    instance_id self_;
    std::map<shard_id, shard_record> records_;
};

} // namespace camphorrock
