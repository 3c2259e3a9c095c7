#pragma once

// Decides the assignment of one shard in the assigner that holds the shard's lease.
//
//     shard_controller controller(shard, self, assignment, ownership);
//     controller.configured(config, now);
//     controller.routers_listed(routers, now);
//     controller.elected(now, actions);
//     controller.tick(now, actions); // every 20 to 50 ms
//
// It reads the record, compares it with the configuration and with what routers report,
// and changes it by compare-and-swap, one step at a time. What it keeps in memory only
// saves time: a successor that knows nothing but the record reaches the same end.
//
// Invariants:
//   - a partition gets another owner only after its scheduler reported it as released
//     for the epoch in the record and no scheduler before that can hold authority, or
//     after no router can hold authority from before the move was recorded;
//   - for a server that does not check epochs the same holds for another scheduler, and
//     max_request_time is added where the scheduler did not report;
//   - after an unknown end of a write nothing is done before the record was read.
// Cost: O(partitions + servers + routers) a tick. Memory is bounded by the record, the
// routers and the limits in assignment_options.

#include "core/assignment/assignment_change.hpp"
#include "core/assignment/assignment_options.hpp"
#include "core/assignment/controller_action.hpp"
#include "core/assignment/fence_progress.hpp"
#include "core/assignment/planner_memory.hpp"
#include "core/assignment/router_table.hpp"
#include "core/assignment/service_view.hpp"
#include "core/base/store_end.hpp"
#include "core/ownership/shard_report.hpp"

#include <deque>
#include <optional>
#include <set>

namespace camphorrock
{

class shard_controller
{
public:
    shard_controller(shard_id shard,
                     instance_id self,
                     assignment_options options,
                     ownership_options ownership);

    // This assigner holds, or lost, the shard's lease in the store.
    void elected(time_point now, controller_actions& actions);
    void lost(time_point now);

    void configured(const service_view& config, time_point now);
    void routers_listed(const std::vector<router_instance>& routers, time_point now);

    // None: the record is absent.
    void record_read(const std::optional<shard_record>& record,
                     time_point now,
                     controller_actions& actions);
    void read_failed(time_point now);
    void write_ended(store_end end, time_point now, controller_actions& actions);

    void reported(const router_instance& router,
                  const shard_report& report,
                  time_point now,
                  controller_actions& actions);
    // `highest` is the highest version that the voter knows.
    void fence_answered(const instance_id& voter,
                        epoch version,
                        bool is_ok,
                        epoch highest,
                        duration fenced_for,
                        time_point now);

    // Adds a plan; steps beyond max_plan are dropped.
    void planned(const rebalance_plan& plan, time_point now);

    void tick(time_point now, controller_actions& actions);

    bool is_elected() const
    {
        return is_elected_;
    }

    // The record as last read or written; none before.
    const std::optional<shard_record>& record() const
    {
        return record_;
    }

    // Newest last.
    const std::deque<assignment_change>& changes() const
    {
        return changes_;
    }

    // Do a majority of the voters answer?
    bool hears_majority(time_point now) const;

private:
    enum class store_call
    {
        none,
        read,
        write,
    };

    void adopt(const shard_record& record, time_point now);
    void note_higher(epoch version);
    void begin_listening(time_point now);
    void drive_store(time_point now, controller_actions& actions);
    void write_next(time_point now, controller_actions& actions);
    void keep_changes(const std::vector<assignment_change>& changes);
    void send_records(time_point now, controller_actions& actions);
    void send_fences(time_point now, controller_actions& actions);
    void resign_if_alone(time_point now, controller_actions& actions);
    void drive(time_point now, controller_actions& actions);

    shard_id shard_;
    instance_id self_;
    assignment_options options_;
    ownership_options ownership_;
    bool is_elected_ = false;
    std::optional<service_view> config_;
    std::optional<shard_record> record_;
    store_call call_ = store_call::none;
    bool needs_read_ = true;
    time_point store_due_;
    std::optional<shard_record> written_; // by the write that has not ended
    std::vector<assignment_change> written_changes_;
    router_table routers_;
    fence_progress fences_;
    std::map<instance_id, time_point> voters_heard_;
    time_point fence_due_;
    time_point ticked_at_;
    time_point majority_heard_at_;
    duration resign_after_;
    planner_memory memory_;
    std::deque<assignment_change> changes_;
};

} // namespace camphorrock
