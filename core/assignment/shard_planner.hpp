#pragma once

// Works out the next version of a shard's record from the present one: the part of
// shard_controller that decides what changes. One planner makes one version.
//
//     shard_planner planner(view);
//     planner.plan();
//     if (planner.has_changed()) ... // write planner.next()
//
// The steps stand in files of their own: shard_planner_schedulers, _moves, _steps and
// _voters; shard_planner.cpp has what they share.

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

// What a planner reads; all must outlive it.
struct planner_view
{
    const shard_record& record;
    const service_view& config;
    const router_table& routers;
    const fence_progress& fences;
    const assignment_options& options;
    const ownership_options& ownership;
    instance_id self;
    bool hears_majority = false; // else nothing is taken away
    duration without_majority{}; // for how long it has not been heard
    time_point now;
};

class shard_planner
{
public:
    shard_planner(const planner_view& view, planner_memory& memory);

    // The first record of a shard.
    static shard_record first_record(const shard_id& shard);

    void plan();

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
    void finish_voters();
    bool is_in_use(const server_id& id) const;
    void plan_servers();
    void plan_schedulers();
    void plan_scheduler(server_entry& server);
    void spread_schedulers();
    void finish_moves();
    void leave_servers();
    void place_unowned();
    void join_servers();
    void follow_plan();
    bool take_step(const rebalance_step& step, const std::string& reason);
    bool take_move(const move_step& step, const std::string& reason);
    bool take_split(const split_step& step, const std::string& reason);
    bool take_merge(const merge_step& step, const std::string& reason);

    const server_view* config_of(const server_id& id) const;
    bool is_declared(const server_entry& server) const;
    bool is_wanted(const server_entry& server) const;
    bool is_lost(const server_entry& server) const;
    std::optional<router_instance>
    choose_other_scheduler(const server_entry& server) const;
    bool needs_scheduler(const server_entry& server) const;
    bool is_cut_off_router(const server_entry& server) const;
    bool is_released(const partition_entry& partition) const;
    bool is_settled(const partition_entry& partition) const;
    bool is_settled(const rebalance_step& step) const;
    bool is_all_released(const server_id& owner) const;
    std::set<server_id> targets(const server_id& except) const;
    std::size_t moving_count() const;
    std::string reason_to_leave(const server_id& owner) const;

    void start_move(partition_entry& partition, const server_id& to, std::string reason);
    void
    set_owner(partition_entry& partition, const server_id& owner, std::string reason);
    void set_scheduler(server_entry& server,
                       const router_instance& router,
                       const std::string& reason);
    void note(change_kind kind,
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
