#include "core/gateway/servers/testing/report_simulation.hpp"

#include "core/base/key_hash.hpp"

#include <algorithm>
#include <cmath>

namespace camphorrock::testing
{
namespace
{

constexpr double speeds[] = {0.5, 0.7, 1.0, 1.6};
constexpr duration slow_span = milliseconds(400);
constexpr unsigned one_slow_of = 5;
constexpr double slow_factor = 3;
constexpr unsigned max_rows = 40; // in one datagram

double uniform(std::minstd_rand& random)
{
    return static_cast<double>(random()) / static_cast<double>(std::minstd_rand::max());
}

} // namespace

report_simulation::report_simulation(const report_options& options)
    : options_(options), arrivals_(options.seed)
{
    std::minstd_rand offsets(options.seed + 1);
    servers_.resize(options.servers);
    std::vector<const known_server*> list;
    for (unsigned n = 0; n < options.servers; ++n)
    {
        server& it = servers_[n];
        it.entry.entry.id = server_id(std::to_string(n));
        it.entry.entry.slots = options.slots;
        it.speed = speeds[n % std::size(speeds)];
        it.slow_offset = milliseconds(offsets() % 400);
        list.push_back(&it.entry);
    }
    for (unsigned n = 0; n < options.gateways; ++n)
    {
        server_pool_options made;
        made.preference_seed = n + 1;
        pools_.emplace_back(data_centre(""), made);
        pools_.back().update(list, events_.now());
        std::set<server_id> in_group;
        for (unsigned at = 0; at < options.servers; ++at)
        {
            if (at * options.groups / options.servers == group_of(n))
            {
                in_group.insert(servers_[at].entry.entry.id);
            }
        }
        pools_.back().set_group_servers(in_group);
    }
    events_.schedule(duration(1), [this] { arrive(); });
    exchange();
}

report_counts report_simulation::run(duration span)
{
    counts_ = {};
    sum_ms_ = 0;
    events_.run(span);
    counts_.mean_ms = sum_ms_ / std::max(1U, counts_.answered);
    return counts_;
}

bool report_simulation::is_slow(const server& at, time_point when) const
{
    const auto span = (when.time_since_epoch() + at.slow_offset) / slow_span;
    const std::string name = at.entry.entry.id.str() + "/" + std::to_string(span) + "/" +
                             std::to_string(options_.seed);
    return hash_key(name).value % one_slow_of == 0;
}

// Work that is begun now goes on at the speed of each time.
duration report_simulation::time_for(const server& at, double work_us) const
{
    time_point when = events_.now();
    for (;;)
    {
        const double speed = at.speed / (is_slow(at, when) ? slow_factor : 1);
        const duration left =
            slow_span - (when.time_since_epoch() + at.slow_offset) % slow_span;
        const double needed_us = work_us / speed;
        if (needed_us <= static_cast<double>(left.count()))
        {
            return when - events_.now() +
                   duration(static_cast<duration::rep>(needed_us) + 1);
        }
        work_us -= static_cast<double>(left.count()) * speed;
        when += left;
    }
}

bool report_simulation::reports_load(const server& at) const
{
    const auto n = static_cast<unsigned>(&at - servers_.data());
    return options_.reports != report_kind::none && n % 3 < options_.reporters_of_3;
}

server_load report_simulation::load_of(const server& at)
{
    const auto waiting = static_cast<unsigned>(at.waiting.size());
    const unsigned slowness = is_slow(at, events_.now()) ? 300 : 100;
    switch (options_.reports)
    {
    case report_kind::empty:
        return {0, 0, options_.slots, 100};
    case report_kind::full:
        return {options_.slots, options_.queue_length, options_.slots, 100};
    case report_kind::huge:
        return {max_reported_requests, max_reported_requests, max_reported_requests, 100};
    case report_kind::very_slow:
        return {at.running, waiting, options_.slots, max_slowness_percent};
    case report_kind::very_quick:
        return {at.running, waiting, options_.slots, min_slowness_percent};
    case report_kind::random:
        return {static_cast<unsigned>(choices_() % 4),
                static_cast<unsigned>(choices_() % 13),
                options_.slots,
                static_cast<unsigned>(50 + choices_() % 350)};
    default:
        return {at.running, waiting, options_.slots, slowness};
    }
}

void report_simulation::arrive()
{
    const auto made = std::make_shared<attempt>();
    made->gateway = static_cast<unsigned>(arrivals_() % options_.gateways);
    made->arrived_at = events_.now();
    made->work_us =
        static_cast<double>(options_.work.count()) * (0.5 + uniform(arrivals_));
    const double gap_s =
        -std::log(1 - uniform(arrivals_) * 0.999999) / options_.per_second;
    events_.schedule(duration(static_cast<duration::rep>(gap_s * 1e6) + 1),
                     [this] { arrive(); });
    if (options_.by == dispatch::single_queue)
    {
        queue_.push_back(made);
        dispatch_queue();
        return;
    }
    send(made);
}

void report_simulation::dispatch_queue()
{
    while (!queue_.empty())
    {
        server* best = nullptr;
        duration least{};
        for (server& it : servers_)
        {
            const duration time = time_for(it, queue_.front()->work_us);
            const bool is_better =
                it.running < options_.slots && (best == nullptr || time < least);
            best = is_better ? &it : best;
            least = is_better ? time : least;
        }
        if (best == nullptr)
        {
            return;
        }
        start(*best, queue_.front());
        queue_.pop_front();
    }
}

void report_simulation::send(const attempt_ptr& it)
{
    server_pool& pool = pools_[it->gateway];
    std::optional<server_choice> to =
        pool.choose({it->tried, {}, {}}, choices_, events_.now());
    if (!to)
    {
        it->tried.clear();
        events_.schedule(milliseconds(50), [this, it] { send(it); });
        return;
    }
    it->to = *to;
    it->sent_at = events_.now();
    pool.attempt_started(it->to, events_.now());
    server& at = *std::find_if(servers_.begin(),
                               servers_.end(),
                               [&](const server& row)
                               { return row.entry.entry.id == it->to.server; });
    if (at.running < options_.slots)
    {
        start(at, it);
    }
    else if (at.waiting.size() < options_.queue_length)
    {
        at.waiting.push_back(it);
    }
    else
    {
        shed(at, it);
    }
}

void report_simulation::start(server& at, const attempt_ptr& it)
{
    ++at.running;
    events_.schedule(time_for(at, it->work_us), [this, &at, it] { answer(at, it); });
}

void report_simulation::answer(server& at, const attempt_ptr& it)
{
    ++counts_.answered;
    const duration elapsed = events_.now() - it->arrived_at;
    sum_ms_ += static_cast<double>(elapsed.count()) / 1000;
    --at.running;
    if (options_.by == dispatch::single_queue)
    {
        dispatch_queue();
        return;
    }
    if (!at.waiting.empty())
    {
        const attempt_ptr next = at.waiting.front();
        at.waiting.pop_front();
        start(at, next);
    }
    server_pool& pool = pools_[it->gateway];
    report_to(pool, at);
    pool.attempt_ended(
        it->to, attempt_end::answered, events_.now() - it->sent_at, events_.now());
    counts_.lost_trust += pool.take_lost_trust(it->to.server) ? 1 : 0;
}

void report_simulation::shed(server& at, const attempt_ptr& it)
{
    ++counts_.shed;
    server_pool& pool = pools_[it->gateway];
    report_to(pool, at);
    pool.attempt_ended(it->to, attempt_end::shed, duration(1), events_.now());
    counts_.lost_trust += pool.take_lost_trust(it->to.server) ? 1 : 0;
    it->tried.push_back(it->to.server);
    send(it);
}

void report_simulation::report_to(server_pool& pool, server& at)
{
    if (reports_load(at))
    {
        pool.observe_report(at.entry.entry.id, {}, load_of(at), events_.now());
    }
}

// Each gateway reports its requests, and what servers told it, to those of its group.
void report_simulation::exchange()
{
    ++exchanges_;
    const time_point now = events_.now();
    for (unsigned group = 0; group < options_.groups; ++group)
    {
        std::vector<gateway_load> loads;
        std::vector<std::vector<aged_server_report>> reports;
        for (unsigned n = group; n < options_.gateways; n += options_.groups)
        {
            loads.push_back({n, exchanges_, {}});
            pools_[n].add_in_flight(loads.back().servers, now);
            pools_[n].take_reports(reports.emplace_back(), max_rows, now);
        }
        for (unsigned n = group; n < options_.gateways; n += options_.groups)
        {
            remote_loads others;
            for (std::size_t from = 0; from < loads.size(); ++from)
            {
                if (loads[from].sender != n)
                {
                    others.add_report(loads[from], now);
                    pools_[n].adopt_reports(reports[from], now);
                }
            }
            pools_[n].set_remote_loads(others, static_cast<unsigned>(loads.size()));
        }
    }
    events_.schedule(options_.report_interval, [this] { exchange(); });
}

} // namespace camphorrock::testing
