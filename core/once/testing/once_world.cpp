#include "core/once/testing/once_world.hpp"

#include "testing/test_headers.hpp"

#include <tuple>

namespace camphorrock
{
namespace
{

constexpr std::size_t page_size = 3; // batches of a load that one call reads

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

once_world::once_world(bool keeps_authority, duration retention)
    : keeps_authority_(keeps_authority), retention_(retention), scheduler_(partitions, 0),
      since_(partitions)
{
    routers_.resize(routers);
    for (unsigned n = 0; n < routers; ++n)
    {
        routers_[n].retention = retention;
        start(n, instance_id("r" + std::to_string(next_name_++)));
    }
    for (unsigned n = 0; n < partitions; ++n)
    {
        move(n, n, false);
    }
}

void once_world::start(unsigned router, instance_id name)
{
    once_options options;
    options.router = name;
    options.writer = 1000 * next_writer_++;
    options.max_memory_bytes = 64 * kibibyte;
    options.filter_bytes = kibibyte;
    options.retention = routers_[router].retention;
    routers_[router].name = std::move(name);
    ++routers_[router].life;
    routers_[router].budget =
        std::make_unique<write_budget>(write_budget_options{milliseconds(10)});
    routers_[router].budget->share(100, 1);
    routers_[router].gate =
        std::make_unique<once_gate>(options, *routers_[router].budget);
}

void once_world::arrive(unsigned router, unsigned id, duration patience)
{
    once_key key = key_of(id);
    waiter_id waiter{next_waiter_++};
    unsigned partition = range_of(0).contains(key.at) ? 0 : 1;
    router = router < routers ? router : scheduler_[partition];
    auto taken = taken_.find({router, partition});
    epoch since = taken == taken_.end() ? since_[partition] : taken->second;
    waiting_[waiter] = {router, routers_[router].life, key};
    routers_[router].gate->arrive(now_, {waiter, key, id, since, now_ + patience});
    drain(router);
}

void once_world::pass_time(duration by)
{
    now_ += by;
    for (auto& [router, batches] : store_)
    {
        std::erase_if(batches,
                      [&](const auto& it)
                      { return now_ - it.second.written > it.second.retention; });
    }
    for (unsigned n = 0; n < routers; ++n)
    {
        routers_[n].gate->tick(now_);
        std::optional<time_point> next = routers_[n].gate->next_tick();
        RC_ASSERT(!next || now_ < *next); // a loop that calls tick() then does not spin
        drain(n);
    }
}

void once_world::move(unsigned partition, unsigned router, bool is_released)
{
    unsigned old = scheduler_[partition];
    if (is_released)
    {
        routers_[old].gate->release(now_, range_of(partition));
        return drain(old);
    }
    if (keeps_authority_ && old != router)
    {
        routers_[old].gate->lose(now_, range_of(partition));
        drain(old);
    }
    take_over(partition, router);
}

void once_world::take_over(unsigned partition, unsigned router)
{
    scheduler_[partition] = router;
    since_[partition] = epoch{++version_};
    taken_[{router, partition}] = since_[partition];
    routers_[router].gate->take_over(now_, range_of(partition), since_[partition]);
    drain(router);
}

void once_world::crash(unsigned router, bool keeps_name)
{
    std::string fresh = "r" + std::to_string(next_name_++);
    start(router, keeps_name ? routers_[router].name : instance_id(fresh));
    for (unsigned n = 0; n < partitions; ++n)
    {
        if (scheduler_[n] == router)
        {
            move(n, router, false);
        }
    }
}

void once_world::change_retention(unsigned router, duration retention)
{
    routers_[router].retention = retention;
    once_settings settings;
    settings.retention = retention;
    routers_[router].gate->change_settings(now_, settings);
    drain(router);
}

void once_world::drain(unsigned router)
{
    for (once_action& it : routers_[router].gate->take_actions())
    {
        take(router, std::move(it));
    }
}

void once_world::take(unsigned router, once_action action)
{
    unsigned life = routers_[router].life;
    if (const auto* it = std::get_if<answer_action>(&action))
    {
        return told(*it);
    }
    if (const auto* it = std::get_if<released_action>(&action))
    {
        return apply_release(*it);
    }
    if (const auto* it = std::get_if<run_action>(&action))
    {
        RC_ASSERT(waiting_.count(it->waiter) == 1); // someone still waits for it
        unsigned partition = range_of(0).contains(it->key.at) ? 0 : 1;
        RC_ASSERT(!keeps_authority_ || scheduler_[partition] == router);
        sent_[it->key].push_back(it->waiter);
        runs_.push_back({router, life, *it, admitted_[it->key], now_, false});
        return;
    }
    calls_.push_back({router, life, routers_[router].name, std::move(action)});
}

// The oracle of answers.
void once_world::told(const answer_action& it)
{
    auto found = waiting_.find(it.waiter);
    RC_ASSERT(found != waiting_.end()); // one answer each
    once_key key = found->second.key;
    waiting_.erase(found);

    if (it.result.end == outcome::ran)
    {
        RC_ASSERT(executed_.count(key) == 1);
        RC_ASSERT(*it.result.payload == key.id.str()); // its own answer, whole
    }
    if (it.result.end == outcome::not_run)
    {
        // This attempt was not sent, or the server refused it.
        const std::vector<waiter_id>& sent = sent_[key];
        RC_ASSERT(std::find(sent.begin(), sent.end(), it.waiter) == sent.end());
        RC_ASSERT(!keeps_authority_ || !is_remembered(key));
    }
}

void once_world::apply_release(const released_action& it)
{
    for (unsigned n = 0; n < partitions; ++n)
    {
        if (range_of(n) == it.range && since_[n] == it.since)
        {
            return take_over(n, (scheduler_[n] + 1) % routers);
        }
    }
}

bool once_world::is_alive(unsigned router, unsigned life) const
{
    return routers_[router].life == life;
}

// True where the id ran within the retention.
bool once_world::is_remembered(const once_key& key) const
{
    auto found = executed_.find(key);
    return found != executed_.end() && now_ - found->second <= retention_;
}

bool once_world::store(const late_write& it)
{
    bool is_new = store_[it.journal]
                      .emplace(it.number, kept_batch{it.batch, now_, it.retention})
                      .second;
    for (const journal_entry& entry : it.batch.entries)
    {
        const auto* admitted = std::get_if<admitted_entry>(&entry);
        if (admitted != nullptr && is_new)
        {
            admitted_[admitted->key] = now_;
        }
    }
    return is_new;
}

store_end once_world::write(const late_write& it, store_end end, bool is_late)
{
    if (end == store_end::failed)
    {
        return end;
    }
    if (end == store_end::unknown && is_late)
    {
        late_.push_back(it);
        return end;
    }
    bool is_new = store(it);
    if (end == store_end::unknown)
    {
        return end;
    }
    return is_new ? store_end::done : store_end::conflict;
}

void once_world::end_call(unsigned draw, store_end end, bool is_late)
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
    bool is_heard = is_alive(call.router, call.life);
    duration retention = routers_[call.router].retention;
    if (const auto* it = std::get_if<append_action>(&call.what))
    {
        store_end got =
            write({self, it->number, it->batch, now_, retention}, end, is_late);
        if (is_heard)
        {
            gate.on_append(now_, it->number, got);
        }
    }
    else if (const auto* it = std::get_if<fence_action>(&call.what))
    {
        store_end got =
            write({it->router, it->number, it->batch, now_, retention}, end, is_late);
        if (is_heard)
        {
            gate.on_fence(now_, it->router, it->number, got);
        }
    }
    else if (const auto* it = std::get_if<read_batch_action>(&call.what); it && is_heard)
    {
        const auto& journal = store_[self];
        auto found = journal.find(it->number);
        bool is_there = found != journal.end();
        gate.on_batch_read(now_,
                           it->number,
                           end == store_end::done,
                           is_there ? std::optional(found->second.batch) : std::nullopt);
    }
    else if (std::holds_alternative<load_action>(call.what) && is_heard)
    {
        bool is_read = end == store_end::done;
        if (is_read && load_page(call.loaded))
        {
            calls_.push_back(std::move(call));
            return;
        }
        gate.on_loaded(now_, is_read, call.loaded);
    }
    drain(call.router);
}

// Adds the next batches in the order of their keys; false where none are left.
bool once_world::load_page(std::vector<stored_batch>& loaded) const
{
    std::size_t left = page_size;
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
            if (left == 0)
            {
                return true;
            }
            loaded.push_back({router, number, kept.batch});
            --left;
        }
    }
    return false;
}

void once_world::land(unsigned draw)
{
    if (!late_.empty())
    {
        std::size_t at = draw % late_.size();
        if (now_ - late_[at].sent <= retention_ / 2)
        {
            store(late_[at]);
        }
        late_.erase(late_.begin() + static_cast<std::ptrdiff_t>(at));
    }
}

void once_world::execute(unsigned draw)
{
    if (runs_.empty())
    {
        return;
    }
    open_run& it = runs_[draw % runs_.size()];
    if (!it.is_executed && now_ - it.given <= retention_ / 2)
    {
        auto before = executed_.find(it.what.key);
        // RC_ASSERT evaluates both sides of ||.
        bool is_forgotten =
            before == executed_.end() || it.given - before->second > retention_;
        RC_ASSERT(is_forgotten); // at most once
        it.is_executed = true;
        executed_[it.what.key] = it.admitted;
        ++executions_;
    }
}

void once_world::end_run(unsigned draw, outcome wanted)
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
        result = {wanted, 200, std::make_shared<const std::string>(it.what.key.id.str())};
    }
    if (wanted == outcome::not_run)
    {
        std::erase(sent_[it.what.key], it.what.waiter);
    }
    if (is_alive(it.router, it.life))
    {
        routers_[it.router].gate->on_finished(now_, it.what.run, result);
        drain(it.router);
    }
}

void once_world::settle()
{
    for (unsigned n = 0; n < 400; ++n)
    {
        while (!late_.empty())
        {
            land(0);
        }
        end_call(0, store_end::done, false);
        end_run(0, outcome::ran);
        pass_time(milliseconds(50));
    }
}

void once_world::check_all_answered() const
{
    for (const auto& [waiter, it] : waiting_)
    {
        RC_ASSERT(!is_alive(it.router, it.life));
    }
}

} // namespace camphorrock
