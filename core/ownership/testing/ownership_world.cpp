#include "core/ownership/testing/ownership_world.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

const shard_id the_shard("diary");
constexpr duration store_timeout = milliseconds(1000);
constexpr duration lease_ttl = milliseconds(500);
constexpr duration lease_period = milliseconds(150);
constexpr duration resign_pause = seconds(1);
constexpr duration list_period = milliseconds(500);
constexpr duration tick_period = milliseconds(25);
constexpr std::size_t hash_count = 8;

} // namespace

struct ownership_world::process
{
    std::string id;
    bool is_up = false;
    bool is_paused = false;
    bool is_leaving = false;
    int incarnation = 0;
    double rate = 1;
    duration offset{};
    std::vector<step> backlog;
    // An assigner has the first, a router the next two, a server the last.
    std::unique_ptr<shard_controller> controller;
    std::unique_ptr<class voter> voter;
    std::unique_ptr<scheduler_authority> authority;
    std::unique_ptr<grant_guard> guard;
    time_point lease_due;
    time_point list_due;
    time_point read_due;
};

ownership_world::ownership_world(world_options options)
    : options_(std::move(options)), random_(options_.seed), now_(seconds(1000))
{
    auto zone = [&](int n)
    {
        return data_centre("dc" + std::to_string(n % options_.zones));
    };
    config_.partition_count = options_.partitions;
    config_.max_request_time = options_.ownership.max_request_time;
    for (std::size_t n = 0; n < options_.servers.size(); ++n)
    {
        std::string id = "s" + std::to_string(n);
        config_.servers.push_back(
            {server_id(id), endpoint(id), zone(int(n)), options_.servers[n], false});
    }
    for (std::size_t n = 0; n < hash_count; ++n)
    {
        hashes_.push_back({~std::uint64_t(0) / hash_count * n + 12345});
    }
    for (int n = 0; n < process_count(); ++n)
    {
        auto one = std::make_unique<process>();
        one->id = n < router(0)   ? "a" + std::to_string(n)
                  : n < server(0) ? "r" + std::to_string(n - router(0))
                                  : "s" + std::to_string(n - server(0));
        double drift = double(options_.ownership.clock_drift_ppm) / 1e6 / 2.2;
        one->rate = 1 + std::uniform_real_distribution<>(-drift, drift)(random_);
        one->offset = milliseconds(random_() % 100000);
        processes_.push_back(std::move(one));
        is_cut_.emplace_back(process_count() + 1, false);
    }
    is_cut_.emplace_back(process_count() + 1, false);
    for (int n = 0; n < process_count(); ++n)
    {
        start(n);
    }
}

ownership_world::~ownership_world() = default;

time_point ownership_world::local(int n) const
{
    const process& it = *processes_[n];
    auto span = double((now_ - time_point()).count()) * it.rate;
    return time_point(it.offset + duration(static_cast<std::int64_t>(span)));
}

bool ownership_world::chance(double share)
{
    return share > 0 && std::uniform_real_distribution<>(0, 1)(random_) < share;
}

duration ownership_world::delay()
{
    std::uint64_t most = chance(slow) ? 1000000 : 1500;
    return microseconds(300 + random_() % most);
}

bool ownership_world::is_reachable(int from, int to) const
{
    return !is_cut_[from][to];
}

void ownership_world::post(duration after, int to, int incarnation, step run)
{
    events_.push({now_ + after,
                  ++last_event_,
                  to,
                  incarnation,
                  std::make_shared<step>(std::move(run))});
}

void ownership_world::run(duration span)
{
    time_point end = now_ + span;
    while (!events_.empty() && events_.top().at <= end && fault().empty())
    {
        event next = events_.top();
        events_.pop();
        now_ = next.at;
        if (next.to < process_count())
        {
            process& it = *processes_[next.to];
            if (next.incarnation >= 0 && next.incarnation != it.incarnation)
            {
                continue;
            }
            if (it.is_paused)
            {
                it.backlog.push_back(*next.run);
                continue;
            }
        }
        ++events_run_;
        (*next.run)();
        check();
    }
    now_ = end;
}

// `handle` runs at `to` and gives the step that runs at `from` with the reply.
void ownership_world::rpc(int from, int to, std::function<step()> handle, step refused)
{
    int incarnation = processes_[from]->incarnation;
    int copies = chance(drop) ? 0 : chance(duplicate) ? 2 : 1;
    for (int n = 0; n < copies && is_reachable(from, to); ++n)
    {
        post(delay(),
             to,
             -1,
             [=, this]
             {
                 step reply = processes_[to]->is_up ? handle() : refused;
                 if (reply && !chance(drop) && is_reachable(to, from))
                 {
                     post(delay(), from, incarnation, reply);
                 }
             });
    }
}

// Ends in exactly one step at `from`: that of the effect, or `unknown`.
void ownership_world::store_call(int from, std::function<step()> effect, step unknown)
{
    int incarnation = processes_[from]->incarnation;
    auto is_ended = std::make_shared<bool>(false);
    auto end = [=](const step& how)
    {
        if (!std::exchange(*is_ended, true))
        {
            how();
        }
    };
    post(store_timeout, from, incarnation, [=] { end(unknown); });
    if (!is_reachable(from, store()) || chance(drop))
    {
        return;
    }
    post(delay(),
         store(),
         -1,
         [=, this]
         {
             if (is_store_down)
             {
                 return;
             }
             step reply = effect();
             if (is_reachable(store(), from) && !chance(lost_store_replies))
             {
                 post(delay(), from, incarnation, [=] { end(reply); });
             }
         });
}

void ownership_world::start(int n)
{
    process& it = *processes_[n];
    it.is_up = true;
    it.lease_due = it.list_due = it.read_due = time_point();
    if (n < router(0))
    {
        it.controller = std::make_unique<shard_controller>(
            the_shard, instance_id(it.id), options_.assignment, options_.ownership);
    }
    else if (n < server(0))
    {
        it.voter = std::make_unique<class voter>(options_.ownership, local(n));
        it.authority = std::make_unique<scheduler_authority>(
            the_shard, instance_id(it.id), options_.ownership, local(n));
    }
    else
    {
        it.guard = std::make_unique<grant_guard>(options_.ownership, local(n));
        oracle_.started(n - server(0));
        return;
    }
    post(microseconds(random_() % 5000), n, it.incarnation, [=, this] { tick(n); });
}

void ownership_world::crash(int n)
{
    process& it = *processes_[n];
    std::erase_if(executions_,
                  [&](const execution& one)
                  { return server(int(one.server)) == n && one.is_delivered; });
    it.is_up = it.is_paused = it.is_leaving = false;
    ++it.incarnation;
    it.backlog.clear();
    it.controller.reset();
    it.voter.reset();
    it.authority.reset();
    it.guard.reset();
}

void ownership_world::restart(int n)
{
    if (!processes_[n]->is_up)
    {
        start(n);
    }
}

void ownership_world::pause(int n)
{
    processes_[n]->is_paused = processes_[n]->is_up;
}

void ownership_world::resume(int n)
{
    process& it = *processes_[n];
    it.is_paused = false;
    std::vector<step> backlog = std::exchange(it.backlog, {});
    for (step& one : backlog)
    {
        post(duration{}, n, it.incarnation, std::move(one));
    }
}

void ownership_world::leave(int n)
{
    process& it = *processes_[n];
    if (it.is_up && !it.is_paused)
    {
        it.is_leaving = true;
        scheduler_actions actions;
        it.authority->leave(local(n), actions);
        carry_out(n, std::move(actions));
    }
}

void ownership_world::cut(int from, int to, bool is_cut)
{
    is_cut_[from][to] = is_cut;
}

void ownership_world::isolate(int n, bool is_cut)
{
    for (int other = 0; other <= store(); ++other)
    {
        cut(n, other, is_cut && other != n);
        cut(other, n, is_cut && other != n);
    }
}

void ownership_world::strand(int n, bool with_routers)
{
    isolate(n, true);
    for (int other = with_routers ? router(0) : server(0); other < store(); ++other)
    {
        cut(n, other, false);
        cut(other, n, false);
    }
}

void ownership_world::heal()
{
    drop = duplicate = slow = lost_store_replies = 0;
    is_store_down = false;
    shown_ = ~std::uint64_t(0);
    for (int n = 0; n < process_count(); ++n)
    {
        isolate(n, false);
        if (processes_[n]->is_leaving)
        {
            crash(n);
        }
        restart(n);
        resume(n);
    }
    for (server_view& it : config_.servers)
    {
        it.is_draining = false;
    }
}

void ownership_world::drain(int n, bool is_draining)
{
    config_.servers[n - server(0)].is_draining = is_draining;
}

void ownership_world::list_instances(std::uint64_t shown)
{
    shown_ = shown;
}

void ownership_world::plan(rebalance_plan plan)
{
    if (shard_controller* controller = elected())
    {
        controller->planned(plan, now_);
    }
}

void ownership_world::tick(int n)
{
    post(tick_period + microseconds(random_() % 10000),
         n,
         processes_[n]->incarnation,
         [=, this] { tick(n); });
    n < router(0) ? tick_assigner(n) : tick_router(n);
}

void ownership_world::tick_assigner(int n)
{
    process& it = *processes_[n];
    time_point now = local(n);
    if (it.list_due <= now)
    {
        it.list_due = now + list_period;
        std::vector<router_instance> list;
        for (int other = 0; other < options_.routers; ++other)
        {
            data_centre zone("dc" + std::to_string(other % options_.zones));
            std::string id = processes_[router(other)]->id;
            if (shown_ >> other & 1)
            {
                list.push_back({instance_id(id), endpoint(id), zone, false});
            }
        }
        it.controller->routers_listed(list, now);
        it.controller->configured(config_, now);
    }
    if (it.lease_due <= now)
    {
        it.lease_due = now + lease_period;
        auto acquire = [=, this]() -> step
        {
            if (lease_holder_ == n || lease_until_ <= now_)
            {
                lease_holder_ = n;
                lease_until_ = now_ + lease_ttl;
            }
            bool is_holder = lease_holder_ == n;
            return [=, this]
            {
                shard_controller& controller = *processes_[n]->controller;
                controller_actions actions;
                if (is_holder && !controller.is_elected())
                {
                    controller.elected(local(n), actions);
                }
                if (!is_holder && controller.is_elected())
                {
                    controller.lost(local(n));
                }
                carry_out(n, std::move(actions));
            };
        };
        store_call(n, acquire, [] {});
    }
    controller_actions actions;
    it.controller->tick(now, actions);
    carry_out(n, std::move(actions));
}

void ownership_world::carry_out(int n, controller_actions actions)
{
    for (const controller_action& action : actions)
    {
        process& it = *processes_[n];
        auto then = [=, this](auto event)
        {
            return step(
                [=, this]
                {
                    controller_actions more;
                    event(*processes_[n]->controller, local(n), more);
                    carry_out(n, std::move(more));
                });
        };
        if (std::holds_alternative<read_record>(action))
        {
            auto failed = then([](auto& c, auto now, auto&) { c.read_failed(now); });
            auto effect = [=, this]
            {
                return then([record = stored_](auto& c, auto now, auto& more)
                            { c.record_read(record, now, more); });
            };
            store_call(n, effect, failed);
        }
        else if (const auto* write = std::get_if<write_record>(&action))
        {
            auto ended = [=](store_end end)
            {
                return then([=](auto& c, auto now, auto& more)
                            { c.write_ended(end, now, more); });
            };
            auto effect = [=, this, write = *write]
            {
                if ((stored_ ? stored_->version : epoch{}) != write.expected)
                {
                    return ended(store_end::conflict);
                }
                stored_ = write.record;
                oracle_.written(write.record);
                return ended(store_end::done);
            };
            store_call(n, effect, ended(store_end::unknown));
        }
        else if (const auto* send = std::get_if<send_record>(&action))
        {
            int to = find(send->to.str());
            auto handle = [=, this, record = *it.controller->record()]() -> step
            {
                scheduler_actions more;
                processes_[to]->authority->record_received(record, local(to), more);
                carry_out(to, std::move(more));
                return {};
            };
            rpc(n, to, handle, {});
        }
        else if (const auto* fence = std::get_if<send_fence>(&action))
        {
            int to = find(fence->to.id.str());
            auto handle = [=, this, fence = *fence]
            {
                voter_reply reply =
                    processes_[to]->voter->fence(the_shard, fence.version, local(to));
                return then(
                    [=](auto& c, auto now, auto&)
                    {
                        c.fence_answered(fence.to.id,
                                         fence.version,
                                         reply.is_ok,
                                         reply.highest,
                                         reply.fenced_for,
                                         now);
                    });
            };
            rpc(n, to, handle, {});
        }
        else
        {
            lease_until_ = lease_holder_ == n ? now_ : lease_until_;
            it.lease_due = local(n) + resign_pause;
        }
    }
}

void ownership_world::read_for_router(int n)
{
    time_point begun_at = local(n);
    auto effect = [=, this]() -> step
    {
        return [=, this, record = stored_]
        {
            process& it = *processes_[n];
            scheduler_actions actions;
            epoch version = record ? record->version : epoch{};
            it.voter->store_read(the_shard, version, begun_at, local(n));
            it.authority->store_read(record, begun_at, local(n), actions);
            carry_out(n, std::move(actions));
        };
    };
    store_call(n, effect, [] {});
}

void ownership_world::tick_router(int n)
{
    process& it = *processes_[n];
    time_point now = local(n);
    if (it.read_due <= now)
    {
        bool is_ready = it.voter->is_ready(the_shard, now);
        it.read_due = now + (is_ready ? options_.ownership.voter_store_limit / 3
                                      : milliseconds(100));
        read_for_router(n);
    }
    scheduler_actions actions;
    it.authority->tick(now, actions);
    carry_out(n, std::move(actions));
    send_request(n);
}

void ownership_world::send_request(int n)
{
    key_hash at = hashes_[random_() % hash_count];
    scheduler_authority& authority = *processes_[n]->authority;
    std::optional<request_permit> permit = authority.permit(at, local(n));
    std::uint64_t request = ++last_request_;
    if (!permit || !authority.request_sent(permit->server, request, at, local(n)))
    {
        return;
    }
    int to = find(permit->server.str());
    std::size_t server_number = to - server(0);
    bool checks = options_.servers[server_number];
    int incarnation = processes_[n]->incarnation;
    auto ended = [=, this](bool is_definite)
    {
        return step(
            [=, this]
            {
                if (is_definite)
                {
                    std::erase_if(executions_,
                                  [&](const execution& it)
                                  { return it.request == request; });
                }
                processes_[n]->authority->request_ended(
                    permit->server, request, is_definite);
            });
    };
    time_point last = now_ + options_.ownership.max_request_time;
    post(options_.ownership.max_request_time, n, incarnation, ended(false));
    if (!checks)
    {
        executions_.push_back({request, server_number, at, last, false});
    }
    duration length = milliseconds(chance(0.1) ? 900 : 20);
    auto handle = [=, this]() -> step
    {
        for (execution& it : executions_)
        {
            it.is_delivered = it.is_delivered || it.request == request;
        }
        bool is_run =
            processes_[to]->is_up &&
            (!checks || processes_[to]->guard->check(at, permit->since, local(to)) ==
                            guard_verdict::accepted);
        post(is_run ? length : duration{},
             to,
             -1,
             [=, this]
             {
                 std::erase_if(executions_,
                               [&](const execution& it)
                               { return it.request == request; });
                 if (is_reachable(to, n))
                 {
                     post(delay(), n, incarnation, ended(true));
                 }
             });
        return {};
    };
    rpc(n, to, handle, ended(true));
}

void ownership_world::send_to_server(
    int n,
    const server_id& to,
    server_exchange_id exchange,
    std::function<server_reply(grant_guard&, time_point)> handle)
{
    int target = find(to.str());
    auto then = [=, this](auto event)
    {
        return step(
            [=, this]
            {
                scheduler_actions more;
                event(*processes_[n]->authority, local(n), more);
                carry_out(n, std::move(more));
            });
    };
    auto at_server = [=, this]
    {
        server_reply reply = handle(*processes_[target]->guard, local(target));
        return then([=](auto& a, auto now, auto& more)
                    { a.server_answered(to, exchange, reply, now, more); });
    };
    rpc(n,
        target,
        at_server,
        then([=](auto& a, auto now, auto& more)
             { a.server_failed(to, exchange, true, now, more); }));
}

void ownership_world::carry_out(int n, scheduler_actions actions)
{
    for (const scheduler_action& action : actions)
    {
        if (const auto* vouch = std::get_if<send_vouch>(&action))
        {
            int to = find(vouch->to.id.str());
            auto handle = [=, this, vouch = *vouch]() -> step
            {
                voter_reply reply =
                    processes_[to]->voter->vouch(the_shard, vouch.version, local(to));
                return [=, this]
                {
                    scheduler_actions more;
                    processes_[n]->authority->vouch_answered(vouch.to.id,
                                                             vouch.round,
                                                             reply.is_ok,
                                                             reply.highest,
                                                             local(n),
                                                             more);
                    carry_out(n, std::move(more));
                };
            };
            rpc(n, to, handle, {});
        }
        else if (const auto* clock = std::get_if<send_clock>(&action))
        {
            send_to_server(n,
                           clock->to,
                           clock->exchange,
                           [](auto& guard, auto now) { return guard.read_clock(now); });
        }
        else if (const auto* grant = std::get_if<send_grant>(&action))
        {
            send_to_server(n,
                           grant->to,
                           grant->exchange,
                           [message = grant->message](auto& guard, auto now)
                           { return guard.grant(message, now); });
        }
        else if (const auto* revoke = std::get_if<send_revoke>(&action))
        {
            send_to_server(n,
                           revoke->to,
                           revoke->exchange,
                           [message = revoke->message](auto& guard, auto now)
                           { return guard.revoke(message, now); });
        }
        else if (const auto* report = std::get_if<send_report>(&action))
        {
            for (int to = 0; to < options_.assigners; ++to)
            {
                data_centre zone("dc" + std::to_string((n - router(0)) % options_.zones));
                auto handle = [=, this, report = report->report]() -> step
                {
                    controller_actions more;
                    router_instance self{
                        report.router, endpoint(report.router.str()), zone, false};
                    processes_[to]->controller->reported(self, report, local(to), more);
                    carry_out(to, std::move(more));
                    return {};
                };
                rpc(n, to, handle, {});
            }
        }
        else
        {
            read_for_router(n);
        }
    }
}

std::optional<epoch> ownership_world::owner_epoch(std::size_t n, std::size_t hash) const
{
    int number = server(static_cast<int>(n));
    if (options_.servers[n])
    {
        const process& it = *processes_[number];
        return it.guard ? it.guard->owner_epoch(hashes_[hash], local(number))
                        : std::nullopt;
    }
    bool is_running = std::any_of(executions_.begin(),
                                  executions_.end(),
                                  [&](const execution& one)
                                  { return one.server == n && one.at == hashes_[hash]; });
    return is_running ? std::optional(epoch{}) : std::nullopt;
}

void ownership_world::check()
{
    std::erase_if(executions_, [&](const execution& it) { return it.until <= now_; });
    oracle_.check_owners(options_.servers.size(),
                         hash_count,
                         [&](std::size_t n, std::size_t hash)
                         { return owner_epoch(n, hash); });
}

// Do fewer than half of the routers reach it, so that callers mostly do not?
bool ownership_world::is_cut_off(int n) const
{
    int reached = 0;
    for (int from = router(0); from < server(0); ++from)
    {
        reached += is_reachable(from, n) && is_reachable(n, from);
    }
    return reached * 2 < options_.routers;
}

bool ownership_world::is_served(std::size_t hash)
{
    for (int n = router(0); n < server(0); ++n)
    {
        const process& it = *processes_[n];
        std::optional<request_permit> permit;
        if (it.is_up && !it.is_paused && !is_cut_off(n))
        {
            permit = it.authority->permit(hashes_[hash], local(n));
        }
        int to = permit ? find(permit->server.str()) : -1;
        if (!permit || !processes_[to]->is_up || processes_[to]->is_paused)
        {
            continue;
        }
        if (!options_.servers[to - server(0)] ||
            processes_[to]->guard->check(hashes_[hash], permit->since, local(to)) ==
                guard_verdict::accepted)
        {
            return true;
        }
    }
    return false;
}

bool ownership_world::is_all_served()
{
    for (std::size_t hash = 0; hash < hash_count; ++hash)
    {
        if (!is_served(hash))
        {
            return false;
        }
    }
    return true;
}

duration ownership_world::unserved_within(duration span)
{
    constexpr duration step = milliseconds(1);
    duration unserved{};
    for (time_point end = now_ + span; now_ < end;)
    {
        run(step);
        unserved += is_all_served() ? duration{} : step;
    }
    return unserved;
}

duration ownership_world::run_until_served(duration limit)
{
    time_point begin = now_;
    while (now_ - begin < limit && !is_all_served())
    {
        run(milliseconds(1));
    }
    return now_ - begin;
}

shard_controller* ownership_world::elected()
{
    for (int n = 0; n < router(0); ++n)
    {
        shard_controller* controller = processes_[n]->controller.get();
        if (controller && controller->is_elected())
        {
            return controller;
        }
    }
    return nullptr;
}

int ownership_world::owner_of(std::size_t hash) const
{
    const partition_entry* it =
        stored_ ? find_partition(*stored_, hashes_[hash]) : nullptr;
    return it && !it->owner.empty() ? find(it->owner.str()) : -1;
}

int ownership_world::scheduler_of(std::size_t hash) const
{
    const partition_entry* it =
        stored_ ? find_partition(*stored_, hashes_[hash]) : nullptr;
    const server_entry* owner = it ? find_server(*stored_, it->owner) : nullptr;
    return owner && !owner->scheduler.empty() ? find(owner->scheduler.str()) : -1;
}

std::string ownership_world::describe() const
{
    std::string text =
        "stored " + std::to_string(stored_ ? stored_->version.value : 0) + ", elected:";
    for (int n = 0; n < router(0); ++n)
    {
        const shard_controller& it = *processes_[n]->controller;
        text += it.is_elected() ? " " + processes_[n]->id : "";
        text += it.is_elected() && it.hears_majority(local(n)) ? "+" : "";
        text += it.record() ? " at " + std::to_string(it.record()->version.value) : "";
    }
    for (int n = router(0); n < server(0); ++n)
    {
        const process& it = *processes_[n];
        const auto& record = it.authority->record();
        text += "; " + it.id + " at " +
                std::to_string(record ? record->version.value : 0) +
                (it.authority->holds_authority(local(n)) ? " holds authority" : "") +
                (it.voter->is_ready(the_shard, local(n)) ? " votes" : "");
    }
    for (std::size_t n = 0; stored_ && n < stored_->partitions.size(); ++n)
    {
        const partition_entry& it = stored_->partitions[n];
        const server_entry* owner = find_server(*stored_, it.owner);
        text += "\n" + to_string(it.range) + " of " + it.owner.str() + " since " +
                std::to_string(it.since.value) + " to " + it.moving_to.str() + " by " +
                (owner ? owner->scheduler.str() : "nobody");
    }
    for (std::size_t n = 0; stored_ && n < stored_->voters.size(); ++n)
    {
        text += " voter " + stored_->voters[n].id.str();
    }
    for (std::size_t n = 0; stored_ && n < stored_->previous_voters.size(); ++n)
    {
        text += " previous " + stored_->previous_voters[n].id.str();
    }
    return text;
}

int ownership_world::find(const std::string& id) const
{
    for (int n = 0; n < process_count(); ++n)
    {
        if (processes_[n]->id == id)
        {
            return n;
        }
    }
    return -1;
}

} // namespace camphorrock
