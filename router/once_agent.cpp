#include "router/once_agent.hpp"

#include "codec/journal_codec.hpp"
#include "router/kept_answer.hpp"

#include <xxhash.h>

#include <algorithm>

namespace camphorrock
{
namespace
{

// Two requests with one id must be the same in all of this.
std::uint64_t fingerprint_of(const live_request& request)
{
    std::string text = request.method + " " + request.target_text + "\n" + request.body;
    return XXH3_64bits(text.data(), text.size());
}

once_result result_of(const lane_end& end)
{
    switch (end.verdict)
    {
    case lane_verdict::answered:
        return {outcome::ran,
                static_cast<unsigned>(end.answer.status),
                std::make_shared<const std::string>(write_kept_answer(end.answer))};
    case lane_verdict::not_run:
        return {outcome::not_run, 0, nullptr};
    case lane_verdict::unknown:
        break;
    }
    return {outcome::unknown, 0, nullptr};
}

refusal refusal_of(once_reason reason)
{
    switch (reason)
    {
    case once_reason::finished:
        return refusal::answer_lost;
    case once_reason::not_scheduled:
        return refusal::no_owner;
    case once_reason::different_request:
        return refusal::id_reused;
    case once_reason::invalid_id:
        return refusal::bad_header;
    case once_reason::store_unavailable:
        return refusal::journal_unavailable;
    case once_reason::over_budget:
        return refusal::over_budget;
    case once_reason::deadline:
        return refusal::deadline_passed;
    case once_reason::unresolved:
        return refusal::in_doubt;
    case once_reason::expired:
    case once_reason::answer_not_kept:
        return refusal::answer_not_kept;
    }
    return refusal::internal;
}

// The refusal for that reason, or one that tells the outcome that is to be told.
refusal refusal_telling(once_reason reason, outcome reported_outcome)
{
    refusal why = refusal_of(reason);
    if (details_of(why).reported_outcome == reported_outcome)
    {
        return why;
    }
    return reported_outcome == outcome::not_run ? refusal::server_unreachable
                                                : refusal::in_doubt;
}

hash_range common_part(const hash_range& one, const hash_range& other)
{
    return {std::max(one.first, other.first), std::min(one.last, other.last)};
}

} // namespace

once_agent::once_agent(router_parts& parts,
                       journal_lease& lease,
                       shard_id shard,
                       runner run)
    : parts_(parts), lease_(lease), shard_(std::move(shard)), reader_(parts, shard_),
      run_(std::move(run))
{
}

void once_agent::configure(const service_config& service, const fleet_config& fleet)
{
    lease_.set_retention(fleet.journal_retention);
    once_settings settings;
    settings.servers_deduplicate = service.servers_deduplicate;
    settings.retention = fleet.journal_retention;
    if (gate_)
    {
        gate_->change_settings(parts_.loop.now(), settings);
        pump();
        return;
    }
    once_options options;
    static_cast<once_settings&>(options) = settings;
    options.router = parts_.settings.id;
    options.writer = parts_.random() | 1;
    gate_.emplace(options, parts_.journal_writes);
}

void once_agent::record_changed(const shard_record& record)
{
    if (!gate_)
    {
        return;
    }
    time_point now = parts_.loop.now();
    claim_map next = claims_of(record);
    for (const auto& [range, old] : claims_)
    {
        lose_parts(record, range);
    }
    for (const auto& [range, wanted] : next)
    {
        auto old = claims_.find(range);
        bool is_known = old != claims_.end() && old->second.since == wanted.since;
        bool was_moving = is_known && old->second.is_moving;
        if (wanted.is_moving && !was_moving)
        {
            gate_->release(now, range);
        }
        if (!wanted.is_moving && (!is_known || was_moving))
        {
            gate_->take_over(now, range, wanted.since);
        }
    }
    claims_ = std::move(next);
    pump();
}

void once_agent::release_all()
{
    for (const auto& [range, it] : std::exchange(claims_, {}))
    {
        gate_->release(parts_.loop.now(), range);
    }
    if (gate_)
    {
        pump();
    }
}

once_agent::claim_map once_agent::claims_of(const shard_record& record) const
{
    claim_map claims;
    for (const partition_entry& it : record.partitions)
    {
        const server_entry* server = find_server(record, it.owner);
        if (server != nullptr && server->scheduler == parts_.settings.id)
        {
            claims[it.range] = {it.since, !it.moving_to.empty()};
        }
    }
    return claims;
}

void once_agent::lose_parts(const shard_record& record, const hash_range& range)
{
    for (const partition_entry& it : record.partitions)
    {
        const server_entry* server = find_server(record, it.owner);
        bool is_ours = server != nullptr && server->scheduler == parts_.settings.id;
        if (!is_ours && it.range.overlaps(range))
        {
            gate_->on_range_lost(parts_.loop.now(), common_part(it.range, range));
        }
    }
}

void once_agent::set_authority(time_point until)
{
    if (gate_)
    {
        gate_->set_authority(parts_.loop.now(), until);
        pump();
    }
}

void once_agent::submit(const live_request_ptr& request, epoch since)
{
    if (!gate_)
    {
        request->refuse(refusal::journal_unavailable);
        return;
    }
    once_request asked;
    asked.waiter = {++last_waiter_};
    asked.key = {request->target.hash, request->caller, request->id};
    asked.fingerprint = fingerprint_of(*request);
    asked.since = since;
    asked.deadline = request->deadline;
    held_.emplace(asked.waiter.value, held_request{request, std::nullopt});
    gate_->on_request_received(parts_.loop.now(), asked);
    pump();
}

void once_agent::pump()
{
    // Carrying an action out may lead back here; the outer call goes on with what came of
    // it.
    if (is_pumping_)
    {
        return;
    }
    is_pumping_ = true;
    for (auto actions = gate_->take_actions(); !actions.empty();
         actions = gate_->take_actions())
    {
        for (const once_action& action : actions)
        {
            std::visit([this](const auto& it) { carry_out(it); }, action);
        }
    }
    is_pumping_ = false;
    arm_timer();
}

void once_agent::arm_timer()
{
    std::optional<time_point> at = gate_->next_tick();
    if (!at)
    {
        timer_.reset();
        return;
    }
    timer_ = parts_.loop.at(*at,
                            [this]
                            {
                                gate_->tick(parts_.loop.now());
                                pump();
                            });
}

void once_agent::create_batch(const instance_id& router,
                              std::uint64_t number,
                              const journal_batch& batch,
                              std::function<void(store_end)> done)
{
    if (lease_.current().value == 0)
    {
        parts_.loop.post([done = std::move(done)] { done(store_end::failed); });
        return;
    }
    parts_.store.compare_and_swap(journal_key(shard_, router, number),
                                  store_revision{},
                                  write_journal_batch(batch),
                                  lease_.current(),
                                  [done = std::move(done)](const store_write& got)
                                  { done(got.end); });
}

void once_agent::carry_out(const append_action& action)
{
    create_batch(parts_.settings.id,
                 action.number,
                 action.batch,
                 [this, number = action.number](store_end end)
                 {
                     gate_->on_append(parts_.loop.now(), number, end);
                     pump();
                 });
}

void once_agent::carry_out(const fence_action& action)
{
    create_batch(action.router,
                 action.number,
                 action.batch,
                 [this, router = action.router, number = action.number](store_end end)
                 {
                     gate_->on_fence(parts_.loop.now(), router, number, end);
                     pump();
                 });
}

void once_agent::carry_out(const read_batch_action& action)
{
    std::uint64_t number = action.number;
    parts_.store.get(
        journal_key(shard_, parts_.settings.id, number),
        [this, number](const store_read& got)
        {
            std::optional<journal_batch> found;
            bool is_read = value_or_handle(
                [&]() -> result<bool>
                {
                    if (!got.entries.empty())
                    {
                        BOOST_LEAF_ASSIGN(found,
                                          read_journal_batch(got.entries.front().value));
                    }
                    return got.end == store_end::done;
                },
                [&](const error& ec)
                {
                    parts_.log.write(event_id::journal_unreadable,
                                     {{"shard", shard_}, {"fault", ec.text}});
                    return false;
                });
            gate_->on_batch_read(parts_.loop.now(), number, is_read, found);
            pump();
        });
}

void once_agent::carry_out(const load_action&)
{
    reader_.read(
        [this](bool is_read, std::vector<stored_batch> batches)
        {
            gate_->on_loaded(parts_.loop.now(), is_read, std::move(batches));
            pump();
        });
}

void once_agent::carry_out(const run_action& action)
{
    run_(held_.at(action.waiter.value).request,
         [this, action](const lane_end& end)
         { run_ended(action.run, action.waiter, end); });
}

void once_agent::run_ended(run_id run, waiter_id waiter, const lane_end& end)
{
    auto it = held_.find(waiter.value);
    if (it != held_.end() && end.verdict != lane_verdict::answered)
    {
        it->second.why = end.why;
    }
    gate_->on_run_finished(parts_.loop.now(), run, result_of(end));
    pump();
}

void once_agent::carry_out(const answer_action& action)
{
    auto node = held_.extract(action.waiter.value);
    if (node.empty())
    {
        return;
    }
    const held_request& held = node.mapped();
    bool is_whole = action.result.end == outcome::ran && action.result.payload;
    std::optional<http_response> answer =
        is_whole ? read_kept_answer(*action.result.payload) : std::nullopt;
    if (answer)
    {
        held.request->answer(std::move(*answer));
        return;
    }
    bool is_own_fault =
        held.why && details_of(held.why->why).reported_outcome == action.result.end;
    if (is_own_fault)
    {
        held.request->refuse(*held.why);
        return;
    }
    refusal why = refusal_telling(action.reason, action.result.end);
    held.request->refuse(
        problem{why, std::string(name_of(action.reason)), action.retry_after});
}

void once_agent::carry_out(const released_action& action)
{
    parts_.log.write(
        event_id::journal_released,
        {{"shard", shard_}, {"range", to_string(action.range)}, {"epoch", action.since}});
}

} // namespace camphorrock
