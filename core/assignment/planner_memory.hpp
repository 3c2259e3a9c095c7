#pragma once

// What one assigner remembers between versions of a record. It saves time and steadies
// choices; nothing in it is needed for safety, and a successor starts with an empty one.

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
    // A move as this assigner first saw it.
    struct seen_move
    {
        server_id owner;
        epoch since;   // of the partition that moves
        epoch seen_at; // the version that showed the move first
    };

    struct waiting_step
    {
        rebalance_step step;
        std::string reason;
    };

    std::map<key_hash, seen_move> moves;         // by first hash
    std::set<server_id> joining;                 // servers that get their fair part
    std::map<server_id, instance_id> doubted_by; // servers lost to a router that all
                                                 // its servers were lost to
    std::deque<waiting_step> plan;
    time_point spread_due;

    epoch followed; // the last version given to follow()

    // A new version is known. A partition that moves in two versions in a row with the
    // same owner has not stopped moving between them.
    void follow(const shard_record& record)
    {
        bool is_next = record.version.value == followed.value + 1;
        std::map<key_hash, seen_move> next;
        for (const partition_entry& it : record.partitions)
        {
            auto old = moves.find(it.range.first);
            if (it.moving_to.empty())
            {
                continue;
            }
            bool is_same = old != moves.end() && old->second.owner == it.owner &&
                           (is_next || old->second.since == it.since);
            epoch seen_at = is_same ? old->second.seen_at : record.version;
            next[it.range.first] = {it.owner, it.since, seen_at};
        }
        moves = std::move(next);
        followed = record.version;
    }
};

} // namespace camphorrock
