#include "core/once/testing/once_simulation.hpp"

#include "testing/test_headers.hpp"

#include <tuple>

namespace camphorrock
{
namespace
{

constexpr std::size_t page_size = 3; // batches that one call of a load reads

hash_range range_of(unsigned partition)
{
    constexpr std::uint64_t half = std::uint64_t(1) << 63;
    return partition == 0 ? hash_range{{0}, {half - 1}} : hash_range{{half}, {~0ull}};
}

once_key key_of(unsigned id)
{
    std::uint64_t at = (id % 2 == 0) ? id : ~std::uint64_t(id);
    return {{at}, caller_name("c"), request_id(std::to_string(id))};
}

} // namespace

once_simulation::once_simulation(bool keeps_authority, duration retention)
    : keeps_authority_(keeps_authority), retention_(retention),
      schedulers_(partition_count, 0), partition_epochs_(partition_count)
{
    routers_.resize(router_count);
    for (unsigned n = 0; n < router_count; ++n)
    {
        routers_[n].retention = retention;
        start_router(n, instance_id("r" + std::to_string(next_name_++)));
    }
    for (unsigned n = 0; n < partition_count; ++n)
    {
        move_partition(n, n, false);
    }
}

void once_simulation::start_router(unsigned router, instance_id name)
{
    once_options options;
    options.router = name;
    options.writer = 1000 * next_writer_++;
    options.max_memory_bytes = 64 * kibibyte;
    options.filter_bytes = kibibyte;
    options.retention = routers_[router].retention;
    routers_[router].name = std::move(name);
    ++routers_[router].incarnation;
    routers_[router].budget =
        std::make_unique<write_budget>(write_budget_options{milliseconds(10)});
    routers_[router].budget->set_rate(100, 1);
    routers_[router].gate =
        std::make_unique<once_gate>(options, *routers_[router].budget);
}

void once_simulation::arrive(unsigned router, unsigned id, duration timeout)
{
    once_key key = key_of(id);
    waiter_id waiter{next_waiter_++};
    unsigned partition = range_of(0).contains(key.at) ? 0 : 1;
    router = router < router_count ? router : schedulers_[partition];
    auto taken = taken_over_.find({router, partition});
    epoch since =
        taken == taken_over_.end() ? partition_epochs_[partition] : taken->second;
    pending_requests_[waiter] = {router, routers_[router].incarnation, key};
    routers_[router].gate->on_request_received(now_,
                                               {waiter, key, id, since, now_ + timeout});
    handle_actions(router);
}

void once_simulation::pass_time(duration by)
{
    now_ += by;
    for (auto& [router, batches] : store_)
    {
        std::erase_if(batches,
                      [&](const auto& it)
                      { return now_ - it.second.written_at > it.second.retention; });
    }
    for (unsigned n = 0; n < router_count; ++n)
    {
        routers_[n].gate->tick(now_);
        std::optional<time_point> next = routers_[n].gate->next_tick();
        RC_ASSERT(!next || now_ < *next); // else an event loop would spin
        handle_actions(n);
    }
}

void once_simulation::move_partition(unsigned partition,
                                     unsigned router,
                                     bool is_released)
{
    unsigned old = schedulers_[partition];
    if (is_released)
    {
        routers_[old].gate->release(now_, range_of(partition));
        return handle_actions(old);
    }
    if (keeps_authority_ && old != router)
    {
        routers_[old].gate->on_range_lost(now_, range_of(partition));
        handle_actions(old);
    }
    take_over(partition, router);
}

void once_simulation::take_over(unsigned partition, unsigned router)
{
    schedulers_[partition] = router;
    partition_epochs_[partition] = epoch{++last_epoch_};
    taken_over_[{router, partition}] = partition_epochs_[partition];
    routers_[router].gate->take_over(
        now_, range_of(partition), partition_epochs_[partition]);
    handle_actions(router);
}

void once_simulation::crash(unsigned router, bool keeps_name)
{
    std::string new_name = "r" + std::to_string(next_name_++);
    start_router(router, keeps_name ? routers_[router].name : instance_id(new_name));
    for (unsigned n = 0; n < partition_count; ++n)
    {
        if (schedulers_[n] == router)
        {
            move_partition(n, router, false);
        }
    }
}

void once_simulation::change_retention(unsigned router, duration retention)
{
    routers_[router].retention = retention;
    once_settings settings;
    settings.retention = retention;
    routers_[router].gate->change_settings(now_, settings);
    handle_actions(router);
}

void once_simulation::handle_actions(unsigned router)
{
    for (once_action& it : routers_[router].gate->take_actions())
    {
        handle_action(router, std::move(it));
    }
}

void once_simulation::handle_action(unsigned router, once_action action)
{
    unsigned incarnation = routers_[router].incarnation;
    if (const auto* it = std::get_if<answer_action>(&action))
    {
        return check_answer(*it);
    }
    if (const auto* it = std::get_if<released_action>(&action))
    {
        return apply_release(*it);
    }
    if (const auto* it = std::get_if<run_action>(&action))
    {
        RC_ASSERT(pending_requests_.count(it->waiter) == 1); // its caller still waits
        unsigned partition = range_of(0).contains(it->key.at) ? 0 : 1;
        RC_ASSERT(!keeps_authority_ || schedulers_[partition] == router);
        sent_waiters_[it->key].push_back(it->waiter);
        runs_.push_back({router, incarnation, *it, admitted_at_[it->key], now_, false});
        return;
    }
    calls_.push_back({router, incarnation, routers_[router].name, std::move(action)});
}

// The oracle for answers.
void once_simulation::check_answer(const answer_action& it)
{
    auto found = pending_requests_.find(it.waiter);
    RC_ASSERT(found != pending_requests_.end()); // at most one answer per waiter
    once_key key = found->second.key;
    pending_requests_.erase(found);

    if (it.result.end == outcome::ran)
    {
        RC_ASSERT(executed_admitted_at_.count(key) == 1);
        RC_ASSERT(*it.result.payload == key.id.str()); // the whole answer of this id
    }
    if (it.result.end == outcome::not_run)
    {
        // No run was given for this request, or the server refused it.
        const std::vector<waiter_id>& sent = sent_waiters_[key];
        RC_ASSERT(std::find(sent.begin(), sent.end(), it.waiter) == sent.end());
        RC_ASSERT(!keeps_authority_ || !has_run_within_retention(key));
    }
}

void once_simulation::apply_release(const released_action& it)
{
    for (unsigned n = 0; n < partition_count; ++n)
    {
        if (range_of(n) == it.range && partition_epochs_[n] == it.since)
        {
            return take_over(n, (schedulers_[n] + 1) % router_count);
        }
    }
}

bool once_simulation::is_alive(unsigned router, unsigned incarnation) const
{
    return routers_[router].incarnation == incarnation;
}

// True if the last run of the id was admitted within the retention.
bool once_simulation::has_run_within_retention(const once_key& key) const
{
    auto found = executed_admitted_at_.find(key);
    return found != executed_admitted_at_.end() && now_ - found->second <= retention_;
}

bool once_simulation::store_batch(const late_write& it)
{
    bool is_new = store_[it.journal]
                      .emplace(it.number, retained_batch{it.batch, now_, it.retention})
                      .second;
    for (const journal_entry& entry : it.batch.entries)
    {
        const auto* admitted = std::get_if<admitted_entry>(&entry);
        if (admitted != nullptr && is_new)
        {
            admitted_at_[admitted->key] = now_;
        }
    }
    return is_new;
}

store_end once_simulation::write(const late_write& it, store_end end, bool is_late)
{
    if (end == store_end::failed)
    {
        return end;
    }
    if (end == store_end::unknown && is_late)
    {
        late_writes_.push_back(it);
        return end;
    }
    bool is_new = store_batch(it);
    if (end == store_end::unknown)
    {
        return end;
    }
    return is_new ? store_end::done : store_end::conflict;
}

void once_simulation::end_call(unsigned draw, store_end end, bool is_late)
{
    if (calls_.empty())
    {
        return;
    }
    std::size_t at = draw % calls_.size();
    open_call call = std::move(calls_[at]);
    calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(at));
    const instance_id& self = call.self;
    once_gate& gate = *routers_[call.router].gate;
    bool is_caller_alive = is_alive(call.router, call.incarnation);
    duration retention = routers_[call.router].retention;
    if (const auto* it = std::get_if<append_action>(&call.action))
    {
        store_end got =
            write({self, it->number, it->batch, now_, retention}, end, is_late);
        if (is_caller_alive)
        {
            gate.on_append(now_, it->number, got);
        }
    }
    else if (const auto* it = std::get_if<fence_action>(&call.action))
    {
        store_end got =
            write({it->router, it->number, it->batch, now_, retention}, end, is_late);
        if (is_caller_alive)
        {
            gate.on_fence(now_, it->router, it->number, got);
        }
    }
    else if (const auto* it = std::get_if<read_batch_action>(&call.action);
             it && is_caller_alive)
    {
        const auto& journal = store_[self];
        auto found = journal.find(it->number);
        bool is_there = found != journal.end();
        gate.on_batch_read(now_,
                           it->number,
                           end == store_end::done,
                           is_there ? std::optional(found->second.batch) : std::nullopt);
    }
    else if (std::holds_alternative<load_action>(call.action) && is_caller_alive)
    {
        bool is_read = end == store_end::done;
        if (is_read && load_page(call.loaded))
        {
            calls_.push_back(std::move(call));
            return;
        }
        gate.on_loaded(now_, is_read, call.loaded);
    }
    handle_actions(call.router);
}

// Appends the next batches in the order of their keys. Returns whether more remain.
bool once_simulation::load_page(std::vector<stored_batch>& loaded) const
{
    std::size_t remaining = page_size;
    for (const auto& [router, batches] : store_)
    {
        for (const auto& [number, kept] : batches)
        {
            bool is_read = !loaded.empty() &&
                           std::tie(router, number) <=
                               std::tie(loaded.back().router, loaded.back().number);
            if (is_read)
            {
                continue;
            }
            if (remaining == 0)
            {
                return true;
            }
            loaded.push_back({router, number, kept.batch});
            --remaining;
        }
    }
    return false;
}

void once_simulation::apply_late_write(unsigned draw)
{
    if (!late_writes_.empty())
    {
        std::size_t at = draw % late_writes_.size();
        if (now_ - late_writes_[at].sent_at <= retention_ / 2)
        {
            store_batch(late_writes_[at]);
        }
        late_writes_.erase(late_writes_.begin() + static_cast<std::ptrdiff_t>(at));
    }
}

void once_simulation::execute(unsigned draw)
{
    if (runs_.empty())
    {
        return;
    }
    open_run& it = runs_[draw % runs_.size()];
    if (!it.is_executed && now_ - it.started_at <= retention_ / 2)
    {
        auto before = executed_admitted_at_.find(it.action.key);
        // RC_ASSERT evaluates both sides of ||.
        bool is_forgotten = before == executed_admitted_at_.end() ||
                            it.started_at - before->second > retention_;
        RC_ASSERT(is_forgotten); // at most once
        it.is_executed = true;
        executed_admitted_at_[it.action.key] = it.admitted_at;
        ++executions_;
    }
}

void once_simulation::end_run(unsigned draw, outcome wanted)
{
    if (runs_.empty())
    {
        return;
    }
    std::size_t at = draw % runs_.size();
    open_run it = runs_[at];
    if (wanted == outcome::ran && !it.is_executed)
    {
        execute(draw);
        wanted = runs_[at].is_executed ? outcome::ran : outcome::unknown;
    }
    if (wanted == outcome::not_run && it.is_executed)
    {
        wanted = outcome::unknown;
    }
    runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(at));
    once_result result{wanted, 0, nullptr};
    if (wanted == outcome::ran)
    {
        result = {
            wanted, 200, std::make_shared<const std::string>(it.action.key.id.str())};
    }
    if (wanted == outcome::not_run)
    {
        std::erase(sent_waiters_[it.action.key], it.action.waiter);
    }
    if (is_alive(it.router, it.incarnation))
    {
        routers_[it.router].gate->on_run_finished(now_, it.action.run, result);
        handle_actions(it.router);
    }
}

void once_simulation::settle()
{
    for (unsigned n = 0; n < 400; ++n)
    {
        while (!late_writes_.empty())
        {
            apply_late_write(0);
        }
        end_call(0, store_end::done, false);
        end_run(0, outcome::ran);
        pass_time(milliseconds(50));
    }
}

void once_simulation::check_all_answered() const
{
    for (const auto& [waiter, it] : pending_requests_)
    {
        RC_ASSERT(!is_alive(it.router, it.incarnation));
    }
}

} // namespace camphorrock
