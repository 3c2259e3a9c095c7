#include "core/ownership/testing/ownership_simulation.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

const shard_id test_shard("diary");
constexpr duration store_timeout = milliseconds(1000);
constexpr duration lease_ttl = milliseconds(500);
constexpr duration lease_renew_period = milliseconds(150);
constexpr duration resign_delay = seconds(1);
constexpr duration list_period = milliseconds(500);
constexpr duration tick_period = milliseconds(25);
constexpr std::size_t hash_count = 8;

} // namespace

struct ownership_simulation::process
{
    std::string id;
    bool is_up = false;
    bool is_paused = false;
    bool is_leaving = false;
    int incarnation = 0;
    double rate = 1;
    duration offset{};
    std::vector<step> backlog;
    // An assigner has a controller, a router a voter and an authority, a server a guard.
    std::unique_ptr<shard_controller> controller;
    std::unique_ptr<class voter> voter;
    std::unique_ptr<scheduler_authority> authority;
    std::unique_ptr<grant_guard> guard;
    time_point lease_due;
    time_point list_due;
    time_point read_due;
};

ownership_simulation::ownership_simulation(simulation_options options)
    : options_(std::move(options)), random_(options_.seed), now_(seconds(1000))
{
    auto data_centre_of = [&](int n)
    {
        return data_centre("dc" + std::to_string(n % options_.data_centre_count));
    };
    config_.partition_count = options_.partitions;
    config_.max_request_time = options_.ownership.max_request_time;
    for (std::size_t n = 0; n < options_.server_checks_epoch.size(); ++n)
    {
        std::string id = "s" + std::to_string(n);
        config_.servers.push_back({server_id(id),
                                   endpoint(id),
                                   data_centre_of(int(n)),
                                   options_.server_checks_epoch[n],
                                   false});
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

ownership_simulation::~ownership_simulation() = default;

time_point ownership_simulation::local_time(int n) const
{
    const process& it = *processes_[n];
    auto span = double((now_ - time_point()).count()) * it.rate;
    return time_point(it.offset + duration(static_cast<std::int64_t>(span)));
}

bool ownership_simulation::random_bool(double probability)
{
    return probability > 0 &&
           std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

duration ownership_simulation::message_delay()
{
    std::uint64_t most = random_bool(slow_probability) ? 1000000 : 1500;
    return microseconds(300 + random_() % most);
}

bool ownership_simulation::is_reachable(int from, int to) const
{
    return !is_cut_[from][to];
}

void ownership_simulation::schedule_event(duration after,
                                          int to,
                                          int incarnation,
                                          step run)
{
    events_.push({now_ + after,
                  ++last_event_,
                  to,
                  incarnation,
                  std::make_shared<step>(std::move(run))});
}

void ownership_simulation::run(duration span)
{
    time_point end = now_ + span;
    while (!events_.empty() && events_.top().at <= end && violation().empty())
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
        ++executed_event_count_;
        (*next.run)();
        check_invariants();
    }
    now_ = end;
}

// Sends a message: `handler` runs at `to` and returns the step that runs at `from` with
// the reply, or an empty step for no reply. `on_refused` runs at `from` if `to` is down.
void ownership_simulation::rpc(int from,
                               int to,
                               std::function<step()> handler,
                               step on_refused)
{
    int incarnation = processes_[from]->incarnation;
    int copies = random_bool(drop_probability)        ? 0
                 : random_bool(duplicate_probability) ? 2
                                                      : 1;
    for (int n = 0; n < copies && is_reachable(from, to); ++n)
    {
        schedule_event(message_delay(),
                       to,
                       -1,
                       [=, this]
                       {
                           step reply = processes_[to]->is_up ? handler() : on_refused;
                           if (reply && !random_bool(drop_probability) &&
                               is_reachable(to, from))
                           {
                               schedule_event(message_delay(), from, incarnation, reply);
                           }
                       });
    }
}

// Calls the store: `effect` runs at the store and returns the step that runs at `from`
// with the reply. Exactly one step runs at `from`: the reply, or `on_unknown` after the
// timeout.
void ownership_simulation::store_call(int from,
                                      std::function<step()> effect,
                                      step on_unknown)
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
    schedule_event(store_timeout, from, incarnation, [=] { end(on_unknown); });
    if (!is_reachable(from, store()) || random_bool(drop_probability))
    {
        return;
    }
    schedule_event(
        message_delay(),
        store(),
        -1,
        [=, this]
        {
            if (is_store_down)
            {
                return;
            }
            step reply = effect();
            if (is_reachable(store(), from) && !random_bool(lost_store_reply_probability))
            {
                schedule_event(message_delay(), from, incarnation, [=] { end(reply); });
            }
        });
}

void ownership_simulation::start(int n)
{
    process& it = *processes_[n];
    it.is_up = true;
    it.lease_due = it.list_due = it.read_due = time_point();
    if (n < router(0))
    {
        it.controller = std::make_unique<shard_controller>(
            test_shard, instance_id(it.id), options_.assignment, options_.ownership);
    }
    else if (n < server(0))
    {
        it.voter = std::make_unique<class voter>(options_.ownership, local_time(n));
        it.authority = std::make_unique<scheduler_authority>(
            test_shard, instance_id(it.id), options_.ownership, local_time(n));
    }
    else
    {
        it.guard = std::make_unique<grant_guard>(options_.ownership, local_time(n));
        oracle_.server_started(n - server(0));
        return;
    }
    schedule_event(
        microseconds(random_() % 5000), n, it.incarnation, [=, this] { tick(n); });
}

void ownership_simulation::crash(int n)
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

void ownership_simulation::restart(int n)
{
    if (!processes_[n]->is_up)
    {
        start(n);
    }
}

void ownership_simulation::pause(int n)
{
    processes_[n]->is_paused = processes_[n]->is_up;
}

void ownership_simulation::resume(int n)
{
    process& it = *processes_[n];
    it.is_paused = false;
    std::vector<step> backlog = std::exchange(it.backlog, {});
    for (step& one : backlog)
    {
        schedule_event(duration{}, n, it.incarnation, std::move(one));
    }
}

void ownership_simulation::start_leaving(int n)
{
    process& it = *processes_[n];
    if (it.is_up && !it.is_paused)
    {
        it.is_leaving = true;
        scheduler_actions actions;
        it.authority->leave(local_time(n), actions);
        carry_out(n, std::move(actions));
    }
}

void ownership_simulation::set_link_cut(int from, int to, bool is_cut)
{
    is_cut_[from][to] = is_cut;
}

void ownership_simulation::set_isolated(int n, bool is_isolated)
{
    for (int other = 0; other <= store(); ++other)
    {
        set_link_cut(n, other, is_isolated && other != n);
        set_link_cut(other, n, is_isolated && other != n);
    }
}

void ownership_simulation::isolate_router(int n, bool reaches_routers)
{
    set_isolated(n, true);
    for (int other = reaches_routers ? router(0) : server(0); other < store(); ++other)
    {
        set_link_cut(n, other, false);
        set_link_cut(other, n, false);
    }
}

void ownership_simulation::heal()
{
    drop_probability = duplicate_probability = slow_probability =
        lost_store_reply_probability = 0;
    is_store_down = false;
    listed_routers_ = ~std::uint64_t(0);
    for (int n = 0; n < process_count(); ++n)
    {
        set_isolated(n, false);
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

void ownership_simulation::set_draining(int n, bool is_draining)
{
    config_.servers[n - server(0)].is_draining = is_draining;
}

void ownership_simulation::set_listed_routers(std::uint64_t listed_routers)
{
    listed_routers_ = listed_routers;
}

void ownership_simulation::submit_plan(rebalance_plan plan)
{
    if (shard_controller* controller = elected())
    {
        controller->planned(plan, now_);
    }
}

void ownership_simulation::tick(int n)
{
    schedule_event(tick_period + microseconds(random_() % 10000),
                   n,
                   processes_[n]->incarnation,
                   [=, this] { tick(n); });
    n < router(0) ? tick_assigner(n) : tick_router(n);
}

void ownership_simulation::tick_assigner(int n)
{
    process& it = *processes_[n];
    time_point now = local_time(n);
    if (it.list_due <= now)
    {
        it.list_due = now + list_period;
        std::vector<router_instance> list;
        for (int other = 0; other < options_.routers; ++other)
        {
            data_centre location("dc" +
                                 std::to_string(other % options_.data_centre_count));
            std::string id = processes_[router(other)]->id;
            if (listed_routers_ >> other & 1)
            {
                list.push_back({instance_id(id), endpoint(id), location, false});
            }
        }
        it.controller->routers_listed(list, now);
        it.controller->configured(config_, now);
    }
    if (it.lease_due <= now)
    {
        it.lease_due = now + lease_renew_period;
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
                    controller.elected(local_time(n), actions);
                }
                if (!is_holder && controller.is_elected())
                {
                    controller.stepped_down(local_time(n));
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

void ownership_simulation::carry_out(int n, controller_actions actions)
{
    for (const controller_action& action : actions)
    {
        process& it = *processes_[n];
        auto make_step = [=, this](auto event)
        {
            return step(
                [=, this]
                {
                    controller_actions more;
                    event(*processes_[n]->controller, local_time(n), more);
                    carry_out(n, std::move(more));
                });
        };
        if (std::holds_alternative<read_record>(action))
        {
            auto failed = make_step([](auto& c, auto now, auto&) { c.read_failed(now); });
            auto effect = [=, this]
            {
                return make_step([record = stored_](auto& c, auto now, auto& more)
                                 { c.record_read(record, now, more); });
            };
            store_call(n, effect, failed);
        }
        else if (const auto* write = std::get_if<write_record>(&action))
        {
            auto ended = [=](store_end end)
            {
                return make_step([=](auto& c, auto now, auto& more)
                                 { c.write_ended(end, now, more); });
            };
            auto effect = [=, this, write = *write]
            {
                if ((stored_ ? stored_->version : epoch{}) != write.expected)
                {
                    return ended(store_end::conflict);
                }
                stored_ = write.record;
                oracle_.record_written(write.record);
                return ended(store_end::done);
            };
            store_call(n, effect, ended(store_end::unknown));
        }
        else if (const auto* send = std::get_if<send_record>(&action))
        {
            int to = process_by_id(send->to.str());
            auto handler = [=, this, record = *it.controller->record()]() -> step
            {
                scheduler_actions more;
                processes_[to]->authority->record_received(record, local_time(to), more);
                carry_out(to, std::move(more));
                return {};
            };
            rpc(n, to, handler, {});
        }
        else if (const auto* fence = std::get_if<send_fence>(&action))
        {
            int to = process_by_id(fence->to.id.str());
            auto handler = [=, this, fence = *fence]
            {
                voter_reply reply = processes_[to]->voter->fence(
                    test_shard, fence.version, local_time(to));
                return make_step(
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
            rpc(n, to, handler, {});
        }
        else
        {
            lease_until_ = lease_holder_ == n ? now_ : lease_until_;
            it.lease_due = local_time(n) + resign_delay;
        }
    }
}

void ownership_simulation::read_for_router(int n)
{
    time_point begun_at = local_time(n);
    auto effect = [=, this]() -> step
    {
        return [=, this, record = stored_]
        {
            process& it = *processes_[n];
            scheduler_actions actions;
            epoch version = record ? record->version : epoch{};
            it.voter->store_read(test_shard, version, begun_at, local_time(n));
            it.authority->store_read(record, begun_at, local_time(n), actions);
            carry_out(n, std::move(actions));
        };
    };
    store_call(n, effect, [] {});
}

void ownership_simulation::tick_router(int n)
{
    process& it = *processes_[n];
    time_point now = local_time(n);
    if (it.read_due <= now)
    {
        bool is_ready = it.voter->is_ready(test_shard, now);
        it.read_due = now + (is_ready ? options_.ownership.max_store_read_age / 3
                                      : milliseconds(100));
        read_for_router(n);
    }
    scheduler_actions actions;
    it.authority->tick(now, actions);
    carry_out(n, std::move(actions));
    send_request(n);
}

void ownership_simulation::send_request(int n)
{
    key_hash at = hashes_[random_() % hash_count];
    scheduler_authority& authority = *processes_[n]->authority;
    std::optional<request_permit> permit = authority.permit(at, local_time(n));
    std::uint64_t request = ++last_request_;
    if (!permit || !authority.request_sent(permit->server, request, at, local_time(n)))
    {
        return;
    }
    int to = process_by_id(permit->server.str());
    std::size_t server_number = to - server(0);
    bool checks_epoch = options_.server_checks_epoch[server_number];
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
    schedule_event(options_.ownership.max_request_time, n, incarnation, ended(false));
    if (!checks_epoch)
    {
        executions_.push_back({request, server_number, at, last, false});
    }
    duration run_time = milliseconds(random_bool(0.1) ? 900 : 20);
    auto handler = [=, this]() -> step
    {
        for (execution& it : executions_)
        {
            it.is_delivered = it.is_delivered || it.request == request;
        }
        bool is_accepted = processes_[to]->is_up &&
                           (!checks_epoch || processes_[to]->guard->check(
                                                 at, permit->since, local_time(to)) ==
                                                 guard_verdict::accepted);
        schedule_event(
            is_accepted ? run_time : duration{},
            to,
            -1,
            [=, this]
            {
                std::erase_if(executions_,
                              [&](const execution& it) { return it.request == request; });
                if (is_reachable(to, n))
                {
                    schedule_event(message_delay(), n, incarnation, ended(true));
                }
            });
        return {};
    };
    rpc(n, to, handler, ended(true));
}

void ownership_simulation::send_to_server(
    int n,
    const server_id& to,
    server_exchange_id exchange,
    std::function<server_reply(grant_guard&, time_point)> handler)
{
    int target = process_by_id(to.str());
    auto make_step = [=, this](auto event)
    {
        return step(
            [=, this]
            {
                scheduler_actions more;
                event(*processes_[n]->authority, local_time(n), more);
                carry_out(n, std::move(more));
            });
    };
    auto at_server = [=, this]
    {
        server_reply reply = handler(*processes_[target]->guard, local_time(target));
        return make_step([=](auto& a, auto now, auto& more)
                         { a.server_answered(to, exchange, reply, now, more); });
    };
    rpc(n,
        target,
        at_server,
        make_step([=](auto& a, auto now, auto& more)
                  { a.server_failed(to, exchange, true, now, more); }));
}

void ownership_simulation::carry_out(int n, scheduler_actions actions)
{
    for (const scheduler_action& action : actions)
    {
        if (const auto* request = std::get_if<request_lease_vote>(&action))
        {
            int to = process_by_id(request->to.id.str());
            auto handler = [=, this, request = *request]() -> step
            {
                voter_reply reply = processes_[to]->voter->vote_on_lease(
                    test_shard, request.version, local_time(to));
                return [=, this]
                {
                    scheduler_actions more;
                    processes_[n]->authority->lease_vote_answered(request.to.id,
                                                                  request.round,
                                                                  reply.is_ok,
                                                                  reply.highest,
                                                                  local_time(n),
                                                                  more);
                    carry_out(n, std::move(more));
                };
            };
            rpc(n, to, handler, {});
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
                data_centre location(
                    "dc" + std::to_string((n - router(0)) % options_.data_centre_count));
                auto handler = [=, this, report = report->report]() -> step
                {
                    controller_actions more;
                    router_instance self{
                        report.router, endpoint(report.router.str()), location, false};
                    processes_[to]->controller->reported(
                        self, report, local_time(to), more);
                    carry_out(to, std::move(more));
                    return {};
                };
                rpc(n, to, handler, {});
            }
        }
        else
        {
            read_for_router(n);
        }
    }
}

std::optional<epoch> ownership_simulation::owner_epoch(std::size_t n,
                                                       std::size_t hash) const
{
    int number = server(static_cast<int>(n));
    if (options_.server_checks_epoch[n])
    {
        const process& it = *processes_[number];
        return it.guard ? it.guard->owner_epoch(hashes_[hash], local_time(number))
                        : std::nullopt;
    }
    bool is_running = std::any_of(executions_.begin(),
                                  executions_.end(),
                                  [&](const execution& one)
                                  { return one.server == n && one.at == hashes_[hash]; });
    return is_running ? std::optional(epoch{}) : std::nullopt;
}

void ownership_simulation::check_invariants()
{
    std::erase_if(executions_, [&](const execution& it) { return it.until <= now_; });
    oracle_.check_owners(options_.server_checks_epoch.size(),
                         hash_count,
                         [&](std::size_t n, std::size_t hash)
                         { return owner_epoch(n, hash); });
}

// Returns whether fewer than half of the routers reach it; then most callers do not reach
// it either.
bool ownership_simulation::is_reached_by_minority(int n) const
{
    int reached = 0;
    for (int from = router(0); from < server(0); ++from)
    {
        reached += is_reachable(from, n) && is_reachable(n, from);
    }
    return reached * 2 < options_.routers;
}

bool ownership_simulation::is_served(std::size_t hash)
{
    for (int n = router(0); n < server(0); ++n)
    {
        const process& it = *processes_[n];
        std::optional<request_permit> permit;
        if (it.is_up && !it.is_paused && !is_reached_by_minority(n))
        {
            permit = it.authority->permit(hashes_[hash], local_time(n));
        }
        int to = permit ? process_by_id(permit->server.str()) : -1;
        if (!permit || !processes_[to]->is_up || processes_[to]->is_paused)
        {
            continue;
        }
        if (!options_.server_checks_epoch[to - server(0)] ||
            processes_[to]->guard->check(hashes_[hash], permit->since, local_time(to)) ==
                guard_verdict::accepted)
        {
            return true;
        }
    }
    return false;
}

bool ownership_simulation::is_all_served()
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

duration ownership_simulation::unserved_within(duration span)
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

duration ownership_simulation::run_until_all_served(duration limit)
{
    time_point begin = now_;
    while (now_ - begin < limit && !is_all_served())
    {
        run(milliseconds(1));
    }
    return now_ - begin;
}

shard_controller* ownership_simulation::elected()
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

int ownership_simulation::owner_of(std::size_t hash) const
{
    const partition_entry* it =
        stored_ ? find_partition(*stored_, hashes_[hash]) : nullptr;
    return it && !it->owner.empty() ? process_by_id(it->owner.str()) : -1;
}

int ownership_simulation::scheduler_of(std::size_t hash) const
{
    const partition_entry* it =
        stored_ ? find_partition(*stored_, hashes_[hash]) : nullptr;
    const server_entry* owner = it ? find_server(*stored_, it->owner) : nullptr;
    return owner && !owner->scheduler.empty() ? process_by_id(owner->scheduler.str())
                                              : -1;
}

std::string ownership_simulation::describe() const
{
    std::string text =
        "stored " + std::to_string(stored_ ? stored_->version.value : 0) + ", elected:";
    for (int n = 0; n < router(0); ++n)
    {
        const shard_controller& it = *processes_[n]->controller;
        text += it.is_elected() ? " " + processes_[n]->id : "";
        text += it.is_elected() && it.reaches_majority(local_time(n))
                    ? " with a majority of routers"
                    : "";
        text += it.record() ? " at " + std::to_string(it.record()->version.value) : "";
    }
    for (int n = router(0); n < server(0); ++n)
    {
        const process& it = *processes_[n];
        const auto& record = it.authority->record();
        text += "; " + it.id + " at " +
                std::to_string(record ? record->version.value : 0) +
                (it.authority->holds_authority(local_time(n)) ? " holds authority" : "") +
                (it.voter->is_ready(test_shard, local_time(n)) ? " grants votes" : "");
    }
    for (std::size_t n = 0; stored_ && n < stored_->partitions.size(); ++n)
    {
        const partition_entry& it = stored_->partitions[n];
        const server_entry* owner = find_server(*stored_, it.owner);
        text += "\n" + to_string(it.range) + " owner " + it.owner.str() + " since " +
                std::to_string(it.since.value) + " moving to " + it.moving_to.str() +
                " scheduler " + (owner ? owner->scheduler.str() : "none");
    }
    for (std::size_t n = 0; stored_ && n < stored_->voters.size(); ++n)
    {
        text += " voter " + stored_->voters[n].id.str();
    }
    for (std::size_t n = 0; stored_ && n < stored_->previous_voters.size(); ++n)
    {
        text += " previous voter " + stored_->previous_voters[n].id.str();
    }
    return text;
}

int ownership_simulation::process_by_id(const std::string& id) const
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
