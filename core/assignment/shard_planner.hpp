#pragma once

// Computes the next version of a shard's record from the current one. shard_controller
// creates one planner for each version and writes the result.
//
//     shard_planner planner(view);
//     planner.plan();
//     if (planner.has_changed()) ... // write planner.next()
//
// The implementation is split by topic: shard_planner_schedulers, _moves, _steps and
// _voters; shard_planner.cpp holds the parts that they share.

#include "core/assignment/assignment_change.hpp"
#include "core/assignment/assignment_options.hpp"
#include "core/assignment/fence_progress.hpp"
#include "core/assignment/planner_memory.hpp"
#include "core/assignment/router_table.hpp"
#include "core/assignment/service_view.hpp"

#include <set>
#include <string>
#include <vector>

namespace camphorrock
{

// The input of a planner; all referenced objects must outlive it.
struct planner_view
{
    const shard_record& record;
    const service_view& config;
    const router_table& routers;
    const fence_progress& fences;
    const assignment_options& options;
    const ownership_options& ownership;
    instance_id self;
    bool reaches_majority = false; // false: only the voters may change
    duration majority_lost_for{};  // time since a majority of the voters answered
    time_point now;
};

class shard_planner
{
public:
    shard_planner(const planner_view& view, planner_memory& memory);

    // The initial record of a shard: version 0, without partitions, servers or voters.
    static shard_record first_record(const shard_id& shard);

    // Computes next() and changes(). Call once.
    void plan();

    // Returns whether next() differs from the current record.
    bool has_changed() const
    {
        return has_changed_;
    }

    const shard_record& next() const
    {
        return next_;
    }

    const std::vector<assignment_change>& changes() const
    {
        return changes_;
    }

private:
    void plan_partitions();
    void plan_voters();
    void replace_voters();
    void finish_voter_change();
    bool is_in_use(const server_id& id) const;
    void plan_servers();
    void plan_schedulers();
    void plan_scheduler(server_entry& server);
    void spread_schedulers();
    void finish_moves();
    void evacuate_servers();
    void assign_unowned();
    void fill_joining_servers();
    void apply_pending_steps();
    bool apply_step(const rebalance_step& step, const std::string& reason);
    bool apply_move(const move_step& step, const std::string& reason);
    bool apply_split(const split_step& step, const std::string& reason);
    bool apply_merge(const merge_step& step, const std::string& reason);

    const server_view* find_config(const server_id& id) const;
    bool matches_config(const server_entry& server) const;
    bool can_own_partitions(const server_entry& server) const;
    bool is_lost(const server_entry& server) const;
    std::optional<router_instance>
    choose_other_scheduler(const server_entry& server) const;
    bool needs_scheduler(const server_entry& server) const;
    bool is_suspected_scheduler(const server_entry& server) const;
    bool is_released(const partition_entry& partition) const;
    bool is_ready_to_move(const partition_entry& partition) const;
    bool is_ready(const rebalance_step& step) const;
    bool has_released_all(const server_id& owner) const;
    std::set<server_id> move_targets(const server_id& except) const;
    std::size_t count_moving() const;
    std::string reason_to_evacuate(const server_id& owner) const;

    void start_move(partition_entry& partition, const server_id& to, std::string reason);
    void
    set_owner(partition_entry& partition, const server_id& owner, std::string reason);
    void set_scheduler(server_entry& server,
                       const router_instance& router,
                       const std::string& reason);
    void record_change(change_kind kind,
                       std::optional<hash_range> range,
                       const server_id& server,
                       std::string reason);

    const planner_view& view_;
    planner_memory& memory_;
    shard_record next_;
    bool has_changed_ = false;
    std::vector<assignment_change> changes_;
};

} // namespace camphorrock
