#include "core/assignment/shard_controller.hpp"

#include "core/assignment/shard_planner.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// A router that does not report gets the record this many times less often.
constexpr int silent_send_factor = 10;

} // namespace

shard_controller::shard_controller(shard_id shard,
                                   instance_id self,
                                   assignment_options options,
                                   ownership_options ownership)
    : shard_(std::move(shard)), self_(std::move(self)), options_(options),
      ownership_(ownership), routers_(options.router_silence), fences_(ownership),
      resign_after_(options.resign_after)
{
}

void shard_controller::elected(time_point now, controller_actions& actions)
{
    is_elected_ = true;
    needs_read_ = true;
    store_due_ = now;
    majority_heard_at_ = now;
    voters_heard_.clear();
    begin_listening(now);
    drive(now, actions);
}

void shard_controller::lost(time_point)
{
    is_elected_ = false;
}

// Silence before this time may be our own.
void shard_controller::begin_listening(time_point now)
{
    routers_.restart_silence(now);
    ticked_at_ = now;
    fence_due_ = now;
    memory_.spread_due = now + options_.spread_period;
    for (auto& [id, it] : routers_.all())
    {
        it.send_due = now;
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
    if (call_ != store_call::read)
    {
        return;
    }
    call_ = store_call::none;
    needs_read_ = false;
    adopt(record ? *record : shard_planner::first_record(shard_), now);
    drive(now, actions);
}

void shard_controller::read_failed(time_point now)
{
    if (call_ == store_call::read)
    {
        call_ = store_call::none;
        store_due_ = now + options_.store_retry;
    }
}

void shard_controller::write_ended(store_end end,
                                   time_point now,
                                   controller_actions& actions)
{
    if (call_ != store_call::write)
    {
        return;
    }
    call_ = store_call::none;
    if (end == store_end::done)
    {
        adopt(*written_, now);
        keep_changes(written_changes_);
    }
    else
    {
        // What the store holds now decides; a write without an answer may be there, may
        // come yet, or never.
        needs_read_ = true;
        store_due_ = end == store_end::conflict ? now : now + options_.store_retry;
    }
    written_.reset();
    drive(now, actions);
}

void shard_controller::adopt(const shard_record& record, time_point now)
{
    if (record_ && record.version <= record_->version)
    {
        return;
    }
    record_ = record;
    memory_.follow(record);
    fences_.start(record, now);
    fence_due_ = now;
    for (auto& [id, it] : routers_.all())
    {
        it.send_due = now;
    }
}

void shard_controller::keep_changes(const std::vector<assignment_change>& changes)
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
    bool is_news = !old || !routers_.is_heard(router.id, now) || !(old->report == report);
    routers_.reported(router, report, now);
    note_higher(report.version);
    if (is_news)
    {
        drive(now, actions);
    }
}

void shard_controller::fence_answered(const instance_id& voter,
                                      epoch version,
                                      bool is_ok,
                                      epoch highest,
                                      duration fenced_for,
                                      time_point now)
{
    voters_heard_[voter] = now;
    note_higher(highest);
    if (is_ok)
    {
        fences_.acknowledged(voter, version, fenced_for, now);
    }
    if (hears_majority(now))
    {
        majority_heard_at_ = now;
        resign_after_ = options_.resign_after;
    }
}

// Another assigner wrote since: this one was paused, or its lease lapsed unnoticed.
void shard_controller::note_higher(epoch version)
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
        if (memory_.plan.size() < options_.max_plan)
        {
            memory_.plan.push_back({it, plan.reason});
        }
    }
}

bool shard_controller::hears_majority(time_point now) const
{
    std::set<instance_id> heard;
    for (const auto& [voter, at] : voters_heard_)
    {
        if (now < at + options_.majority_silence)
        {
            heard.insert(voter);
        }
    }
    return record_ && is_joint_majority(record_->voters, record_->previous_voters, heard);
}

void shard_controller::tick(time_point now, controller_actions& actions)
{
    if (ownership_.pause_threshold < now - ticked_at_)
    {
        begin_listening(now);
        majority_heard_at_ = now;
    }
    ticked_at_ = now;
    drive(now, actions);
}

void shard_controller::drive(time_point now, controller_actions& actions)
{
    if (!is_elected_)
    {
        return;
    }
    drive_store(now, actions);
    send_records(now, actions);
    send_fences(now, actions);
    resign_if_alone(now, actions);
}

void shard_controller::drive_store(time_point now, controller_actions& actions)
{
    if (call_ != store_call::none || now < store_due_)
    {
        return;
    }
    if (needs_read_)
    {
        call_ = store_call::read;
        actions.push_back(read_record{});
        return;
    }
    write_next(now, actions);
}

void shard_controller::write_next(time_point now, controller_actions& actions)
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
                      hears_majority(now),
                      now - majority_heard_at_,
                      now};
    shard_planner planner(view, memory_);
    planner.plan();
    if (!planner.has_changed())
    {
        keep_changes(planner.changes());
        return;
    }
    call_ = store_call::write;
    written_ = planner.next();
    written_changes_ = planner.changes();
    actions.push_back(write_record{record_->version, *written_});
}

void shard_controller::send_records(time_point now, controller_actions& actions)
{
    if (!record_)
    {
        return;
    }
    for (auto& [id, it] : routers_.all())
    {
        if (record_->version <= it.report.version || now < it.send_due)
        {
            continue;
        }
        bool is_heard = routers_.is_heard(id, now);
        it.send_due = now + options_.send_period * (is_heard ? 1 : silent_send_factor);
        actions.push_back(send_record{id, it.self.peer, record_->version});
    }
}

void shard_controller::send_fences(time_point now, controller_actions& actions)
{
    if (!record_ || now < fence_due_)
    {
        return;
    }
    fence_due_ = now + options_.fence_period;
    for (const voter_entry& it : all_voters(*record_))
    {
        actions.push_back(send_fence{it, record_->version});
    }
}

void shard_controller::resign_if_alone(time_point now, controller_actions& actions)
{
    bool has_voters = record_ && !record_->voters.empty();
    if (!has_voters || now < majority_heard_at_ + resign_after_)
    {
        return;
    }
    // Each time later, so that one assigner stays long enough to replace lost voters.
    resign_after_ *= 2;
    is_elected_ = false;
    actions.push_back(resign{});
}

} // namespace camphorrock
