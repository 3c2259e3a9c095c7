#include "router/once_agent.hpp"

#include "codec/journal_codec.hpp"
#include "router/kept_answer.hpp"

#include <xxhash.h>

#include <algorithm>

namespace camphorrock
{
namespace
{

// Requests with the same id must have the same fingerprint.
std::uint64_t fingerprint_of(const live_request& request)
{
    std::string text = request.method + " " + request.target_text + "\n" + request.body;
    return XXH3_64bits(text.data(), text.size());
}

once_result result_of(const dispatch_result& got)
{
    switch (got.end)
    {
    case dispatch_end::answered:
        return {outcome::ran,
                static_cast<unsigned>(got.answer.status),
                std::make_shared<const std::string>(write_kept_answer(got.answer))};
    case dispatch_end::not_run:
        return {outcome::not_run, 0, nullptr};
    case dispatch_end::unknown:
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
        return refusal::outcome_unresolved;
    case once_reason::expired:
    case once_reason::answer_not_kept:
        return refusal::answer_not_kept;
    }
    return refusal::internal;
}

// Returns the refusal for that reason if it reports this outcome, else another one that
// does.
refusal refusal_reporting(once_reason reason, outcome reported_outcome)
{
    refusal why = refusal_of(reason);
    if (details_of(why).reported_outcome == reported_outcome)
    {
        return why;
    }
    return reported_outcome == outcome::not_run ? refusal::server_unreachable
                                                : refusal::outcome_unresolved;
}

hash_range intersection(const hash_range& one, const hash_range& other)
{
    return {std::max(one.first, other.first), std::min(one.last, other.last)};
}

} // namespace

once_agent::once_agent(router_context& context,
                       journal_lease& lease,
                       shard_id shard,
                       run_function run)
    : context_(context), lease_(lease), shard_(std::move(shard)),
      reader_(context, shard_), run_(std::move(run))
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
        gate_->change_settings(context_.loop.now(), settings);
        carry_out_actions();
        return;
    }
    once_options options;
    static_cast<once_settings&>(options) = settings;
    options.router = context_.settings.id;
    options.writer = context_.random() | 1;
    gate_.emplace(options, context_.journal_writes);
}

void once_agent::record_changed(const shard_record& record)
{
    if (!gate_)
    {
        return;
    }
    time_point now = context_.loop.now();
    claim_map next = claims_of(record);
    for (const auto& [range, old_claim] : claims_)
    {
        drop_lost_ranges(record, range);
    }
    for (const auto& [range, new_claim] : next)
    {
        auto old_claim = claims_.find(range);
        bool is_claimed =
            old_claim != claims_.end() && old_claim->second.since == new_claim.since;
        bool was_moving = is_claimed && old_claim->second.is_moving;
        if (new_claim.is_moving && !was_moving)
        {
            gate_->release(now, range);
        }
        if (!new_claim.is_moving && (!is_claimed || was_moving))
        {
            gate_->take_over(now, range, new_claim.since);
        }
    }
    claims_ = std::move(next);
    carry_out_actions();
}

void once_agent::release_all()
{
    for (const auto& [range, it] : std::exchange(claims_, {}))
    {
        gate_->release(context_.loop.now(), range);
    }
    if (gate_)
    {
        carry_out_actions();
    }
}

once_agent::claim_map once_agent::claims_of(const shard_record& record) const
{
    claim_map claims;
    for (const partition_entry& it : record.partitions)
    {
        const server_entry* server = find_server(record, it.owner);
        if (server != nullptr && server->scheduler == context_.settings.id)
        {
            claims[it.range] = {it.since, !it.moving_to.empty()};
        }
    }
    return claims;
}

void once_agent::drop_lost_ranges(const shard_record& record, const hash_range& range)
{
    for (const partition_entry& it : record.partitions)
    {
        const server_entry* server = find_server(record, it.owner);
        bool is_scheduled_here =
            server != nullptr && server->scheduler == context_.settings.id;
        if (!is_scheduled_here && it.range.overlaps(range))
        {
            gate_->on_range_lost(context_.loop.now(), intersection(it.range, range));
        }
    }
}

void once_agent::set_authority(time_point until)
{
    if (gate_)
    {
        gate_->set_authority(context_.loop.now(), until);
        carry_out_actions();
    }
}

void once_agent::submit(const live_request_ptr& request, epoch since)
{
    if (!gate_)
    {
        request->refuse(refusal::journal_unavailable);
        return;
    }
    once_request received;
    received.waiter = {++last_waiter_};
    received.key = {request->target.hash, request->caller, request->id};
    received.fingerprint = fingerprint_of(*request);
    received.since = since;
    received.deadline = request->deadline;
    held_.emplace(received.waiter.value, held_request{request, std::nullopt});
    gate_->on_request_received(context_.loop.now(), received);
    carry_out_actions();
}

void once_agent::carry_out_actions()
{
    // carry_out() may call this function again; the outer call then carries out the
    // actions that were added.
    if (is_carrying_out_)
    {
        return;
    }
    is_carrying_out_ = true;
    for (auto actions = gate_->take_actions(); !actions.empty();
         actions = gate_->take_actions())
    {
        for (const once_action& action : actions)
        {
            std::visit([this](const auto& it) { carry_out(it); }, action);
        }
    }
    is_carrying_out_ = false;
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
    timer_ = context_.loop.at(*at,
                              [this]
                              {
                                  gate_->tick(context_.loop.now());
                                  carry_out_actions();
                              });
}

void once_agent::create_batch(const instance_id& router,
                              std::uint64_t number,
                              const journal_batch& batch,
                              std::function<void(store_end)> done)
{
    if (lease_.current().value == 0)
    {
        context_.loop.post([done = std::move(done)] { done(store_end::failed); });
        return;
    }
    context_.store.compare_and_swap(journal_key(shard_, router, number),
                                    store_revision{},
                                    write_journal_batch(batch),
                                    lease_.current(),
                                    [done = std::move(done)](const store_write& got)
                                    { done(got.end); });
}

void once_agent::carry_out(const append_action& action)
{
    create_batch(context_.settings.id,
                 action.number,
                 action.batch,
                 [this, number = action.number](store_end end)
                 {
                     gate_->on_append(context_.loop.now(), number, end);
                     carry_out_actions();
                 });
}

void once_agent::carry_out(const fence_action& action)
{
    create_batch(action.router,
                 action.number,
                 action.batch,
                 [this, router = action.router, number = action.number](store_end end)
                 {
                     gate_->on_fence(context_.loop.now(), router, number, end);
                     carry_out_actions();
                 });
}

void once_agent::carry_out(const read_batch_action& action)
{
    std::uint64_t number = action.number;
    context_.store.get(
        journal_key(shard_, context_.settings.id, number),
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
                    context_.log.write(event_id::journal_unreadable,
                                       {{"shard", shard_}, {"fault", ec.text}});
                    return false;
                });
            gate_->on_batch_read(context_.loop.now(), number, is_read, found);
            carry_out_actions();
        });
}

void once_agent::carry_out(const load_action&)
{
    reader_.read(
        [this](bool is_read, std::vector<stored_batch> batches)
        {
            gate_->on_loaded(context_.loop.now(), is_read, std::move(batches));
            carry_out_actions();
        });
}

void once_agent::carry_out(const run_action& action)
{
    run_(held_.at(action.waiter.value).request,
         [this, action](const dispatch_result& got)
         { run_ended(action.run, action.waiter, got); });
}

void once_agent::run_ended(run_id run, waiter_id waiter, const dispatch_result& got)
{
    auto it = held_.find(waiter.value);
    if (it != held_.end() && got.end != dispatch_end::answered)
    {
        it->second.run_problem = got.why;
    }
    gate_->on_run_finished(context_.loop.now(), run, result_of(got));
    carry_out_actions();
}

void once_agent::carry_out(const answer_action& action)
{
    auto node = held_.extract(action.waiter.value);
    if (node.empty())
    {
        return;
    }
    const held_request& held = node.mapped();
    bool is_answer_kept = action.result.end == outcome::ran && action.result.payload;
    std::optional<http_response> answer =
        is_answer_kept ? read_kept_answer(*action.result.payload) : std::nullopt;
    if (answer)
    {
        held.request->answer(std::move(*answer));
        return;
    }
    bool is_run_problem =
        held.run_problem &&
        details_of(held.run_problem->why).reported_outcome == action.result.end;
    if (is_run_problem)
    {
        held.request->refuse(*held.run_problem);
        return;
    }
    refusal why = refusal_reporting(action.reason, action.result.end);
    held.request->refuse(
        problem{why, std::string(name_of(action.reason)), action.retry_after});
}

void once_agent::carry_out(const released_action& action)
{
    context_.log.write(
        event_id::journal_released,
        {{"shard", shard_}, {"range", to_string(action.range)}, {"epoch", action.since}});
}

} // namespace camphorrock
