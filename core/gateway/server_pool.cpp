#include "core/gateway/server_pool.hpp"

#include "core/base/backoff.hpp"
#include "core/base/enum_names.hpp"

#include <algorithm>
#include <cmath>

namespace camphorrock
{
namespace
{

constexpr enum_names<attempt_end, 7> names{{{
    {attempt_end::answered, "answered"},
    {attempt_end::server_error, "server_error"},
    {attempt_end::shed, "shed"},
    {attempt_end::not_owner, "not_owner"},
    {attempt_end::unreachable, "unreachable"},
    {attempt_end::lost, "lost"},
    {attempt_end::cancelled, "cancelled"},
}}};

double to_us(duration value)
{
    return static_cast<double>(value.count());
}

duration from_us(double value)
{
    return duration(static_cast<duration::rep>(value));
}

// How many times the work of one request a new one waits, behind `load` others.
double waiting_share(unsigned load, unsigned slots)
{
    const double n = std::max(1U, slots);
    return std::max(0.0, load + 1.0 - n) / n;
}

bool contains(const std::vector<server_id>& list, const server_id& wanted)
{
    return std::find(list.begin(), list.end(), wanted) != list.end();
}

} // namespace

std::string_view name_of(attempt_end value)
{
    return names.name(value);
}

server_pool::server_pool(data_centre here, server_pool_options options)
    : here_(std::move(here)), options_(options), mean_us_(to_us(options.initial_time))
{
}

void server_pool::update(const std::vector<const known_server*>& servers, time_point now)
{
    std::map<server_id, row> updated;
    for (const known_server* known : servers)
    {
        row made;
        auto old = rows_.find(known->entry.id);
        const bool is_known =
            old != rows_.end() && old->second.entry.life == known->entry.life;
        if (is_known)
        {
            made = old->second;
        }
        else
        {
            made.time_us = mean_us_;
        }
        made.entry = known->entry;
        made.is_usable = known->is_usable();
        made.is_missing = known->is_missing;
        made.leaves_since = known->leaves_since();
        made.warm_at = known->seen + known->entry.warm_up_left;
        updated.emplace(known->entry.id, std::move(made));
    }
    // Requests in flight at servers that are gone still end here.
    for (auto& [id, it] : rows_)
    {
        if (it.own > 0 && !updated.contains(id))
        {
            it.is_usable = false;
            it.is_missing = false;
            updated.emplace(id, it);
        }
    }
    rows_ = std::move(updated);
    static_cast<void>(now);
}

bool server_pool::fits(const row& it, const server_wish& wish, time_point now) const
{
    if (contains(wish.tried, it.entry.id))
    {
        return false;
    }
    if (!wish.owner)
    {
        return it.is_usable;
    }
    const bool has_left =
        it.leaves_since && now - *it.leaves_since > options_.serves_leaving;
    return it.entry.id == *wish.owner && !has_left && !is_doubted(it, now);
}

bool server_pool::is_doubted(const row& it, time_point now) const
{
    const bool is_on_probation = it.refusals >= options_.refusals_to_doubt;
    return is_on_probation && (now < it.doubted_until || it.own > 0);
}

bool server_pool::is_suspended(const row& it, time_point now) const
{
    const bool is_on_probation = it.suspended_until != time_point{} && it.failures > 0;
    return now < it.suspended_until || (is_on_probation && it.own > 0);
}

double server_pool::work_us(const row& it, time_point now) const
{
    const bool is_cold = now < it.warm_at;
    return is_cold ? std::max(it.time_us, options_.warm_up_factor * mean_us_)
                   : it.time_us;
}

unsigned server_pool::load_of(const row& it, time_point now) const
{
    const unsigned load = it.own + it.remote;
    const bool is_full = now < it.full_until;
    return is_full ? std::max(load, it.entry.slots + options_.queue_length) : load;
}

double server_pool::wait_us(const row& it, time_point now) const
{
    return waiting_share(load_of(it, now), it.entry.slots) * work_us(it, now);
}

double server_pool::cost_us(const row& it, time_point now) const
{
    const double remote = it.entry.zone == here_ ? 0 : options_.remote_penalty;
    const double outside = it.is_near ? 0 : options_.outside_penalty;
    const double failure = options_.failure_penalty * failure_share(it, now);
    return wait_us(it, now) + options_.work_weight * work_us(it, now) +
           (remote + outside + failure) * mean_us_;
}

std::optional<server_choice> server_pool::choose(const server_wish& wish,
                                                 std::minstd_rand& random,
                                                 time_point now) const
{
    const row* best = nullptr;
    double best_cost = 0;
    unsigned equals = 0;
    const row* first_back = nullptr; // of the suspended ones
    for (const auto& [id, it] : rows_)
    {
        if (!fits(it, wish, now))
        {
            continue;
        }
        if (!wish.owner && is_suspended(it, now))
        {
            const bool is_first =
                first_back == nullptr || it.suspended_until < first_back->suspended_until;
            first_back = is_first ? &it : first_back;
            continue;
        }
        const double cost = cost_us(it, now);
        if (best == nullptr || cost < best_cost)
        {
            best = &it;
            best_cost = cost;
            equals = 1;
        }
        else if (cost == best_cost && random() % ++equals == 0)
        {
            best = &it;
        }
    }
    best = best != nullptr ? best : first_back;
    return best != nullptr ? std::optional(make_choice(*best, now)) : std::nullopt;
}

server_choice server_pool::make_choice(const row& it, time_point now) const
{
    return {it.entry.id,
            it.entry.life,
            it.entry.address,
            from_us(wait_us(it, now) + work_us(it, now)),
            load_of(it, now)};
}

void server_pool::started(const server_id& server)
{
    auto it = rows_.find(server);
    if (it != rows_.end())
    {
        ++it->second.own;
    }
}

void server_pool::ended(const server_choice& to,
                        attempt_end how,
                        duration elapsed,
                        time_point now)
{
    auto found = rows_.find(to.server);
    if (found == rows_.end())
    {
        return;
    }
    row& it = found->second;
    it.own -= it.own > 0 ? 1 : 0;
    const bool took_key = how == attempt_end::answered || how == attempt_end::shed ||
                          how == attempt_end::server_error;
    it.refusals = took_key ? 0 : it.refusals;
    switch (how)
    {
    case attempt_end::answered:
        it.failures = 0;
        it.suspended_until = {};
        note_failure(it, 0, now);
        learn_time(it, elapsed, to.load);
        break;
    case attempt_end::shed:
        it.full_until = now + options_.full_for;
        break;
    case attempt_end::unreachable:
        failed(it, true, now);
        break;
    case attempt_end::server_error:
    case attempt_end::lost:
        failed(it, false, now);
        break;
    case attempt_end::not_owner:
        key_refused(it, now);
        break;
    case attempt_end::cancelled:
        break;
    }
}

void server_pool::key_refused(row& it, time_point now)
{
    ++it.refusals;
    if (it.refusals >= options_.refusals_to_doubt)
    {
        it.doubted_until = now + doubled_pause(options_.first_doubt,
                                               it.refusals - options_.refusals_to_doubt,
                                               options_.max_doubt);
    }
}

void server_pool::learn_time(row& it, duration elapsed, unsigned load)
{
    const double sample = to_us(elapsed) / (1.0 + waiting_share(load, it.entry.slots));
    it.time_us += options_.smoothing * (sample - it.time_us);
    const double mean_smoothing = options_.smoothing / std::max<double>(1, rows_.size());
    mean_us_ += mean_smoothing * (sample - mean_us_);
}

void server_pool::failed(row& it, bool is_unreachable, time_point now)
{
    ++it.failures;
    it.is_unreached = is_unreachable;
    note_failure(it, 1, now);
    const unsigned least = is_unreachable ? 1 : options_.failures_to_suspend;
    if (it.failures < least)
    {
        return;
    }
    it.suspended_until = now + doubled_pause(options_.first_suspension,
                                             it.failures - least,
                                             options_.max_suspension);
}

double server_pool::failure_share(const row& it, time_point now) const
{
    const double age = to_us(now - it.failure_noted) / to_us(options_.failure_memory);
    return it.failure_share * std::exp(-age);
}

void server_pool::note_failure(row& it, double failure, time_point now)
{
    const double share = failure_share(it, now);
    it.failure_share = share + options_.smoothing * (failure - share);
    it.failure_noted = now;
}

void server_pool::set_remote_loads(const remote_loads& loads, unsigned gateways)
{
    for (auto& [id, it] : rows_)
    {
        it.remote = loads.requests_at(id, gateways);
    }
    const unsigned usual = mean_near_load();
    for (auto& [id, it] : rows_)
    {
        it.remote = it.is_near ? it.remote : std::max(it.remote, usual);
    }
}

void server_pool::set_near(const std::set<server_id>& near)
{
    for (auto& [id, it] : rows_)
    {
        it.is_near = near.contains(id);
    }
}

// Rounded to the nearest; none where no server is near.
unsigned server_pool::mean_near_load() const
{
    unsigned servers = 0;
    unsigned requests = 0;
    for (const auto& [id, it] : rows_)
    {
        const bool counts = it.is_near && it.is_usable;
        servers += counts ? 1 : 0;
        requests += counts ? it.own + it.remote : 0;
    }
    return servers == 0 ? 0 : (requests + servers / 2) / servers;
}

void server_pool::add_in_flight(std::vector<server_requests>& to) const
{
    for (const auto& [id, it] : rows_)
    {
        if (it.own > 0)
        {
            to.push_back({tag_of(id), it.own});
        }
    }
}

duration server_pool::mean_time() const
{
    return from_us(mean_us_);
}

bool server_pool::is_out_of_reach(const server_id& server, time_point now) const
{
    auto it = rows_.find(server);
    return it != rows_.end() && it->second.is_unreached &&
           now < it->second.suspended_until;
}

double server_pool::capacity(const server_id& server) const
{
    auto it = rows_.find(server);
    if (it == rows_.end())
    {
        return 1e6 / mean_us_;
    }
    // Few answers say little of one server, so it counts as nearer to the mean.
    const double time_us = (it->second.time_us + mean_us_) / 2;
    return 1e6 * std::max(1U, it->second.entry.slots) / std::max(time_us, 1.0);
}

unsigned server_pool::in_flight(const server_id& server) const
{
    auto it = rows_.find(server);
    return it == rows_.end() ? 0 : it->second.own;
}

std::size_t server_pool::usable(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        rows_.begin(),
        rows_.end(),
        [&](const auto& it)
        { return it.second.is_usable && now >= it.second.suspended_until; }));
}

} // namespace camphorrock
