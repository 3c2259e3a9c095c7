#include "core/gateway/admission/testing/priority_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace camphorrock::testing
{
namespace
{

constexpr duration min_retry_after = milliseconds(80);
constexpr unsigned retry_after_spread_ms = 120;
constexpr int max_latency_percent = 110; // of the target
constexpr unsigned max_choices = 3;      // of servers for one try

duration ms(double value)
{
    return duration(static_cast<duration::rep>(value * 1000));
}

} // namespace

double value_of(const std::vector<traffic_result>& all)
{
    double sum = 0;
    for (const traffic_result& it : all)
    {
        sum += it.value;
    }
    return sum;
}

priority_simulation::priority_simulation(priority_load load, admission_rule rule)
    : load_(std::move(load)), rule_(rule), client_random_(load_.seed),
      random_(load_.seed), results_(load_.requests.size()),
      warm_up_results_(load_.requests.size())
{
    const server_pool_options options{.initial_mean_time = mean_time()};
    gateways_.assign(
        load_.gateways,
        gateway{server_pool(data_centre("z"), options), priority_admission()});
    std::vector<const known_server*> list;
    servers_.resize(load_.speeds.size());
    double sum = 0;
    for (std::size_t n = 0; n < servers_.size(); ++n)
    {
        servers_[n].speed = load_.speeds[n];
        servers_[n].entry.entry.id = server_id(std::to_string(n));
        servers_[n].entry.entry.slots = load_.slots;
        list.push_back(&servers_[n].entry);
        key_sums_.push_back(sum += load_.speeds[n]);
    }
    for (gateway& it : gateways_)
    {
        it.pool.update(list, events_.now());
    }
}

// The mean service time of the normal traffic, which the gateways have learned before.
duration priority_simulation::mean_time() const
{
    double work_us = 0;
    double per_s = 0;
    for (const traffic& it : load_.requests)
    {
        work_us += it.per_s * static_cast<double>(it.work.count());
        per_s += it.per_s;
    }
    double speeds = 0;
    for (double it : load_.speeds)
    {
        speeds += it;
    }
    const double speed = speeds / static_cast<double>(load_.speeds.size());
    return duration(static_cast<duration::rep>(work_us / per_s / speed));
}

std::vector<traffic_result> priority_simulation::run(duration span)
{
    first_counted_ = events_.now() + load_.warm_up;
    last_arrival_ = first_counted_ + span;
    for (std::size_t n = 0; n < load_.requests.size(); ++n)
    {
        events_.schedule(duration::zero(), [this, n] { come(n); });
    }
    exchange_reports();
    events_.run(load_.warm_up + span + seconds(10));
    return results_;
}

// A client comes, and the next one after a random time.
void priority_simulation::come(std::size_t of)
{
    const traffic& from = load_.requests[of];
    const bool is_counted = events_.now() >= first_counted_;
    const double per_s = from.per_s * (is_counted ? from.factor : 1);
    events_.schedule(
        ms(-std::log(1 - draw()) * 1000 / per_s),
        [this, of]
        {
            if (events_.now() >= last_arrival_)
            {
                return;
            }
            come(of);
            const traffic& made_from = load_.requests[of];
            const auto it = std::make_shared<request>();
            it->of = of;
            it->came_at = events_.now();
            it->work =
                ms(static_cast<double>(made_from.work.count()) / 1000 * (0.5 + draw()));
            const auto at = std::lower_bound(
                key_sums_.begin(), key_sums_.end(), draw() * key_sums_.back());
            it->owner = draw() < made_from.hot_share
                            ? 0
                            : static_cast<std::size_t>(at - key_sums_.begin());
            it->result =
                it->came_at >= first_counted_ ? &results_[of] : &warm_up_results_[of];
            ++it->result->clients;
            send(it);
        });
}

admission_request priority_simulation::terms_of(const request& it) const
{
    const traffic& from = load_.requests[it.of];
    return {from.priority,
            {it.came_at + from.deadline - events_.now(),
             from.target * max_latency_percent / 100},
            load_.is_keyed};
}

admission_limit priority_simulation::limit_of(const request& it,
                                              const server_choice& to) const
{
    const admission_request terms = terms_of(it);
    return rule_ == admission_rule::by_target
               ? admission_limit{latency_limit(to, terms.terms), {}}
               : gateways_[it.gateway].admission.limit_of(terms, to, events_.now());
}

void priority_simulation::send(const request_ptr& it)
{
    ++it->tries;
    it->gateway = random_() % gateways_.size();
    gateway& at = gateways_[it->gateway];
    server_criteria criteria;
    if (load_.is_keyed)
    {
        criteria.owner = servers_[it->owner].entry.entry.id;
    }
    std::optional<duration> missing;
    server_choice first;
    for (unsigned n = 0; n < max_choices; ++n)
    {
        const auto to = at.pool.choose(criteria, random_, events_.now());
        if (!to)
        {
            break;
        }
        const admission_limit limit = limit_of(*it, *to);
        if (is_worth_sending(*to, limit.longest))
        {
            at.pool.attempt_started(*to, events_.now());
            at.admission.note_sent(terms_of(*it), events_.now());
            it->to = *to;
            it->sent_at = events_.now();
            events_.schedule(milliseconds(1), [this, it] { arrive(it); });
            return;
        }
        const duration excess = std::max<duration>(
            to->expected_latency - load_.requests[it->of].target / 2, duration::zero());
        first = missing ? first : *to;
        missing = missing.value_or(limit.missing ? limit.missing->time_until() : excess);
        criteria.excluded.push_back(to->server);
        if (!limit.missing || load_.is_keyed)
        {
            break;
        }
    }
    ++it->result->refusals;
    at.admission.note_refused(terms_of(*it), first, events_.now());
    refuse(it, missing.value_or(duration::zero()));
}

// The client tries again, if it may and its deadline allows it.
void priority_simulation::refuse(const request_ptr& it, duration missing)
{
    const duration wait =
        min_retry_after + milliseconds(random_() % retry_after_spread_ms) + missing;
    const bool is_in_vain =
        events_.now() + wait >= it->came_at + load_.requests[it->of].deadline;
    if (it->tries <= load_.retries && !is_in_vain)
    {
        events_.schedule(wait, [this, it] { send(it); });
    }
}

std::size_t priority_simulation::server_index(const server_choice& to) const
{
    return std::stoul(to.server.str());
}

void priority_simulation::arrive(const request_ptr& it)
{
    server& at = servers_[server_index(it->to)];
    if (at.running < load_.slots)
    {
        start(it);
        return;
    }
    if (at.waiting.size() < load_.queue_length)
    {
        at.waiting.push_back(it);
        return;
    }
    ++it->result->shed;
    gateway& from = gateways_[it->gateway];
    from.pool.attempt_ended(
        it->to, attempt_end::shed, events_.now() - it->sent_at, events_.now());
    from.admission.note_unserved(terms_of(*it), it->to, events_.now());
    refuse(it, duration::zero());
}

void priority_simulation::start(const request_ptr& it)
{
    server& at = servers_[server_index(it->to)];
    ++at.running;
    events_.schedule(ms(static_cast<double>(it->work.count()) / 1000 / at.speed),
                     [this, it] { end(it); });
}

void priority_simulation::end(const request_ptr& it)
{
    server& at = servers_[server_index(it->to)];
    --at.running;
    if (!at.waiting.empty())
    {
        const request_ptr next = at.waiting.front();
        at.waiting.pop_front();
        start(next);
    }
    const time_point now = events_.now();
    const traffic& from = load_.requests[it->of];
    gateway& by = gateways_[it->gateway];
    by.pool.attempt_ended(it->to, attempt_end::answered, now - it->sent_at, now);
    by.admission.note_answered(terms_of(*it), it->to, now - it->sent_at, now);
    const duration elapsed = now - it->came_at;
    traffic_result& result = *it->result;
    result.answered += elapsed <= from.deadline ? 1 : 0;
    result.in_time += elapsed <= from.target ? 1 : 0;
    result.value += elapsed <= from.target     ? from.value_in_time
                    : elapsed <= from.deadline ? from.value_late
                                               : 0;
}

void priority_simulation::exchange_reports()
{
    ++report_number_;
    for (std::size_t to = 0; to < gateways_.size(); ++to)
    {
        remote_loads loads;
        for (std::size_t from = 0; from < gateways_.size(); ++from)
        {
            gateway_load report{from, report_number_, {}};
            gateways_[from].pool.add_in_flight(report.servers, events_.now());
            if (from != to)
            {
                loads.add_report(report, events_.now());
            }
        }
        gateways_[to].pool.set_remote_loads(loads, load_.gateways);
    }
    events_.schedule(load_.report_interval, [this] { exchange_reports(); });
}

} // namespace camphorrock::testing
