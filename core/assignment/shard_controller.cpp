#include "core/assignment/shard_controller.hpp"

#include "core/assignment/shard_planner.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// The resend period of a record is this many times longer for a router that is not
// reporting.
constexpr int unresponsive_resend_factor = 10;

} // namespace

shard_controller::shard_controller(shard_id shard,
                                   instance_id self,
                                   assignment_options options,
                                   ownership_options ownership)
    : shard_(std::move(shard)), self_(std::move(self)), options_(options),
      ownership_(ownership), routers_(options.router_report_timeout), fences_(ownership),
      resign_after_(options.resign_after)
{
}

void shard_controller::elected(time_point now, controller_actions& actions)
{
    is_elected_ = true;
    needs_read_ = true;
    next_store_call_at_ = now;
    last_majority_at_ = now;
    voter_answered_at_.clear();
    restart_timeouts(now);
    issue_actions(now, actions);
}

void shard_controller::stepped_down(time_point)
{
    is_elected_ = false;
}

// Restarts all timeouts, since this assigner may have missed earlier messages itself.
void shard_controller::restart_timeouts(time_point now)
{
    routers_.restart_timeouts(now);
    last_tick_at_ = now;
    next_fence_at_ = now;
    memory_.next_spread_at = now + options_.spread_period;
    for (auto& [id, it] : routers_.all())
    {
        it.next_send_at = now;
    }
}

void shard_controller::configured(const service_view& config, time_point)
{
    config_ = config;
    fences_.set_max_request_time(config.max_request_time);
}

void shard_controller::routers_listed(const std::vector<router_instance>& routers,
                                      time_point now)
{
    routers_.listed(routers, now);
}

void shard_controller::record_read(const std::optional<shard_record>& record,
                                   time_point now,
                                   controller_actions& actions)
{
    if (pending_call_ != store_call::read)
    {
        return;
    }
    pending_call_ = store_call::none;
    needs_read_ = false;
    adopt(record ? *record : shard_planner::first_record(shard_), now);
    issue_actions(now, actions);
}

void shard_controller::read_failed(time_point now)
{
    if (pending_call_ == store_call::read)
    {
        pending_call_ = store_call::none;
        next_store_call_at_ = now + options_.store_retry_delay;
    }
}

void shard_controller::write_ended(store_end end,
                                   time_point now,
                                   controller_actions& actions)
{
    if (pending_call_ != store_call::write)
    {
        return;
    }
    pending_call_ = store_call::none;
    if (end == store_end::done)
    {
        adopt(*pending_record_, now);
        append_changes(pending_changes_);
    }
    else
    {
        // Only a read shows the current record: an unanswered write may have taken
        // effect, may still take effect, or may never do so.
        needs_read_ = true;
        next_store_call_at_ =
            end == store_end::conflict ? now : now + options_.store_retry_delay;
    }
    pending_record_.reset();
    issue_actions(now, actions);
}

void shard_controller::adopt(const shard_record& record, time_point now)
{
    if (record_ && record.version <= record_->version)
    {
        return;
    }
    record_ = record;
    memory_.observe_record(record);
    fences_.start(record, now);
    next_fence_at_ = now;
    for (auto& [id, it] : routers_.all())
    {
        it.next_send_at = now;
    }
}

void shard_controller::append_changes(const std::vector<assignment_change>& changes)
{
    for (const assignment_change& it : changes)
    {
        changes_.push_back(it);
        if (changes_.size() > options_.max_changes_kept)
        {
            changes_.pop_front();
        }
    }
}

void shard_controller::reported(const router_instance& router,
                                const shard_report& report,
                                time_point now,
                                controller_actions& actions)
{
    const router_state* old = routers_.find(router.id);
    bool is_changed =
        !old || !routers_.is_reporting(router.id, now) || !(old->report == report);
    routers_.reported(router, report, now);
    require_read_if_newer(report.version);
    if (is_changed)
    {
        issue_actions(now, actions);
    }
}

void shard_controller::fence_answered(const instance_id& voter,
                                      epoch version,
                                      bool is_ok,
                                      epoch highest,
                                      duration fenced_for,
                                      time_point now)
{
    voter_answered_at_[voter] = now;
    require_read_if_newer(highest);
    if (is_ok)
    {
        fences_.acknowledged(voter, version, fenced_for, now);
    }
    if (reaches_majority(now))
    {
        last_majority_at_ = now;
        resign_after_ = options_.resign_after;
    }
}

// A version above the known one was written by another assigner: this assigner was paused
// or did not notice that its lease lapsed. Reads the record again.
void shard_controller::require_read_if_newer(epoch version)
{
    if (record_ && record_->version < version)
    {
        needs_read_ = true;
    }
}

void shard_controller::planned(const rebalance_plan& plan, time_point)
{
    for (const rebalance_step& it : plan.steps)
    {
        if (memory_.pending_steps.size() < options_.max_pending_steps)
        {
            memory_.pending_steps.push_back({it, plan.reason});
        }
    }
}

bool shard_controller::reaches_majority(time_point now) const
{
    std::set<instance_id> answered;
    for (const auto& [voter, at] : voter_answered_at_)
    {
        if (now < at + options_.majority_timeout)
        {
            answered.insert(voter);
        }
    }
    return record_ &&
           is_joint_majority(record_->voters, record_->previous_voters, answered);
}

void shard_controller::tick(time_point now, controller_actions& actions)
{
    if (ownership_.pause_threshold < now - last_tick_at_)
    {
        restart_timeouts(now);
        last_majority_at_ = now;
    }
    last_tick_at_ = now;
    issue_actions(now, actions);
}

void shard_controller::issue_actions(time_point now, controller_actions& actions)
{
    if (!is_elected_)
    {
        return;
    }
    issue_store_call(now, actions);
    send_records(now, actions);
    send_fences(now, actions);
    resign_without_majority(now, actions);
}

void shard_controller::issue_store_call(time_point now, controller_actions& actions)
{
    if (pending_call_ != store_call::none || now < next_store_call_at_)
    {
        return;
    }
    if (needs_read_)
    {
        pending_call_ = store_call::read;
        actions.push_back(read_record{});
        return;
    }
    write_next_version(now, actions);
}

void shard_controller::write_next_version(time_point now, controller_actions& actions)
{
    if (!config_ || !record_)
    {
        return;
    }
    planner_view view{*record_,
                      *config_,
                      routers_,
                      fences_,
                      options_,
                      ownership_,
                      self_,
                      reaches_majority(now),
                      now - last_majority_at_,
                      now};
    shard_planner planner(view, memory_);
    planner.plan();
    if (!planner.has_changed())
    {
        append_changes(planner.changes());
        return;
    }
    pending_call_ = store_call::write;
    pending_record_ = planner.next();
    pending_changes_ = planner.changes();
    actions.push_back(write_record{record_->version, *pending_record_});
}

void shard_controller::send_records(time_point now, controller_actions& actions)
{
    if (!record_)
    {
        return;
    }
    for (auto& [id, it] : routers_.all())
    {
        if (record_->version <= it.report.version || now < it.next_send_at)
        {
            continue;
        }
        bool is_reporting = routers_.is_reporting(id, now);
        it.next_send_at = now + options_.record_resend_period *
                                    (is_reporting ? 1 : unresponsive_resend_factor);
        actions.push_back(send_record{id, it.instance.peer, record_->version});
    }
}

void shard_controller::send_fences(time_point now, controller_actions& actions)
{
    if (!record_ || now < next_fence_at_)
    {
        return;
    }
    next_fence_at_ = now + options_.fence_period;
    for (const voter_entry& it : all_voters(*record_))
    {
        actions.push_back(send_fence{it, record_->version});
    }
}

void shard_controller::resign_without_majority(time_point now,
                                               controller_actions& actions)
{
    bool has_voters = record_ && !record_->voters.empty();
    if (!has_voters || now < last_majority_at_ + resign_after_)
    {
        return;
    }
    // The timeout grows each time so that one assigner eventually holds the lease long
    // enough to replace lost voters.
    resign_after_ *= 2;
    is_elected_ = false;
    actions.push_back(resign{});
}

} // namespace camphorrock
