#pragma once

// Decides the assignment of one shard in the assigner that holds the shard's lease.
//
//     shard_controller controller(shard, self, assignment, ownership);
//     controller.configured(config, now);
//     controller.routers_listed(routers, now);
//     controller.elected(now, actions);
//     controller.tick(now, actions); // every 20 to 50 ms
//
// The controller reads the record, compares it with the configuration and the routers'
// reports, and changes it by compare-and-swap, one version at a time. Its memory only
// saves time: a successor that starts from the record alone reaches the same result.
//
// Invariants:
//   - a partition gets another owner only once its scheduler has reported it as released
//     for the epoch in the record and no earlier scheduler can hold authority, or once no
//     router can hold authority from before the move was recorded;
//   - a server that does not check epochs gets another scheduler under the same
//     conditions; without the report, max_request_time is added to the wait. Its
//     partitions get another owner only after the report;
//   - after a write whose result is unknown, the record is read before anything else is
//     written.
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

    // This assigner has acquired, or no longer holds, the shard's lease in the store.
    void elected(time_point now, controller_actions& actions);
    void stepped_down(time_point now);

    void configured(const service_view& config, time_point now);
    void routers_listed(const std::vector<router_instance>& routers, time_point now);

    // A read_record succeeded; `record` is empty if the store holds none.
    void record_read(const std::optional<shard_record>& record,
                     time_point now,
                     controller_actions& actions);
    void read_failed(time_point now);
    void write_ended(store_end end, time_point now, controller_actions& actions);

    void reported(const router_instance& router,
                  const shard_report& report,
                  time_point now,
                  controller_actions& actions);

    // A voter answered a send_fence. `is_ok`: it refuses versions below `version`, and
    // has done so for `fenced_for`. `highest` is the highest version that it knows.
    void fence_answered(const instance_id& voter,
                        epoch version,
                        bool is_ok,
                        epoch highest,
                        duration fenced_for,
                        time_point now);

    // Appends the steps of a plan to the pending ones; steps beyond max_pending_steps are
    // dropped.
    void planned(const rebalance_plan& plan, time_point now);

    // A gap of more than ownership_options::pause_threshold between two ticks means that
    // this process was paused, and restarts the timeouts of the routers and voters.
    void tick(time_point now, controller_actions& actions);

    bool is_elected() const
    {
        return is_elected_;
    }

    // The record as last read or written; empty before the first read.
    const std::optional<shard_record>& record() const
    {
        return record_;
    }

    // The last max_changes_kept changes, oldest first.
    const std::deque<assignment_change>& changes() const
    {
        return changes_;
    }

    // Returns whether a joint majority of the voters has answered within
    // majority_timeout.
    bool reaches_majority(time_point now) const;

private:
    enum class store_call
    {
        none,
        read,
        write,
    };

    void adopt(const shard_record& record, time_point now);
    void require_read_if_newer(epoch version);
    void restart_timeouts(time_point now);
    void issue_store_call(time_point now, controller_actions& actions);
    void write_next_version(time_point now, controller_actions& actions);
    void append_changes(const std::vector<assignment_change>& changes);
    void send_records(time_point now, controller_actions& actions);
    void send_fences(time_point now, controller_actions& actions);
    void resign_without_majority(time_point now, controller_actions& actions);
    void issue_actions(time_point now, controller_actions& actions);

    shard_id shard_;
    instance_id self_;
    assignment_options options_;
    ownership_options ownership_;
    bool is_elected_ = false;
    std::optional<service_view> config_;
    std::optional<shard_record> record_;
    store_call pending_call_ = store_call::none;
    bool needs_read_ = true;
    time_point next_store_call_at_;
    std::optional<shard_record> pending_record_; // of the unanswered write
    std::vector<assignment_change> pending_changes_;
    router_table routers_;
    fence_progress fences_;
    std::map<instance_id, time_point> voter_answered_at_;
    time_point next_fence_at_;
    time_point last_tick_at_;
    time_point last_majority_at_;
    duration resign_after_;
    planner_memory memory_;
    std::deque<assignment_change> changes_;
};

} // namespace camphorrock
