#pragma once

// State that an assigner keeps in memory between versions of a record. It shortens waits
// and keeps choices stable. Safety does not depend on it: a successor starts without it.

#include "core/assignment/rebalance_plan.hpp"
#include "core/base/epoch.hpp"
#include "core/base/key_hash.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/ownership/shard_record.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace camphorrock
{

struct planner_memory
{
    // A move in flight.
    struct observed_move
    {
        server_id owner;
        epoch since;         // of the partition when it was last observed
        epoch first_version; // in which this assigner observed the move
    };

    struct pending_step
    {
        rebalance_step step;
        std::string reason;
    };

    std::map<key_hash, observed_move> moves; // key: first hash of the partition
    std::set<server_id> joining_servers; // servers that are to receive partitions until
                                         // they own an equal number

    // The schedulers that were replaced because each reported all of its servers as lost,
    // by server. An entry is erased once its server is reported as alive.
    std::map<server_id, instance_id> suspected_schedulers;

    std::deque<pending_step> pending_steps;
    time_point next_spread_at;

    epoch last_version; // last argument of observe_record()

    // Updates `moves` from a new version of the record. A move continues if its owner is
    // unchanged and either the two versions are consecutive or `since` is unchanged,
    // since it can't have ended between them.
    void observe_record(const shard_record& record)
    {
        bool is_next = record.version.value == last_version.value + 1;
        std::map<key_hash, observed_move> next;
        for (const partition_entry& it : record.partitions)
        {
            auto old = moves.find(it.range.first);
            if (it.moving_to.empty())
            {
                continue;
            }
            bool is_same = old != moves.end() && old->second.owner == it.owner &&
                           (is_next || old->second.since == it.since);
            epoch first_version = is_same ? old->second.first_version : record.version;
            next[it.range.first] = {it.owner, it.since, first_version};
        }
        moves = std::move(next);
        last_version = record.version;
    }
};

} // namespace camphorrock
