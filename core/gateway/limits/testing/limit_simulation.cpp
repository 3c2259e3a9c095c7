#include "core/gateway/limits/testing/limit_simulation.hpp"

#include "core/base/busiest_window.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace camphorrock::testing
{
namespace
{

constexpr duration window = seconds(4);
constexpr double min_delay_us = 300;
constexpr double max_delay_us = 3000;
constexpr duration send_delay = milliseconds(1);

double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

limit_simulation::limit_simulation(limit_simulation_options options)
    : options_(options), random_(options.seed), exchange_random_(options.seed)
{
    for (unsigned n = 0; n < options_.gateways; ++n)
    {
        gateway& it = gateways_.emplace_back(token_exchange(events_.now()));
        it.address = endpoint("10.0." + std::to_string(n / 250) + "." +
                              std::to_string(n % 250) + ":1");
    }
    set_fleet([](unsigned) { return true; });
    schedule_demand();
}

double limit_simulation::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

std::vector<fleet_gateway> limit_simulation::fleet() const
{
    std::vector<fleet_gateway> made;
    for (const gateway& it : gateways_)
    {
        made.push_back({it.address, data_centre("z"), 100});
    }
    return made;
}

void limit_simulation::set_fleet(const std::function<bool(unsigned)>& is_known)
{
    std::vector<fleet_gateway> known;
    for (unsigned n = 0; n < gateways_.size(); ++n)
    {
        if (is_known(n))
        {
            known.push_back(fleet()[n]);
        }
    }
    for (gateway& it : gateways_)
    {
        it.exchange.set_fleet(known, it.address);
    }
}

void limit_simulation::forget_fleet()
{
    for (gateway& it : gateways_)
    {
        it.exchange = token_exchange(events_.now());
    }
    waiting_.clear();
}

unsigned limit_simulation::counting_gateway() const
{
    const endpoint first = ranked_gateways_of(fleet(), server_.str(), 1).front();
    unsigned n = 0;
    while (gateways_[n].address != first)
    {
        ++n;
    }
    return n;
}

void limit_simulation::freeze(unsigned gateway, duration span)
{
    gateways_[gateway].silent_until = events_.now() + span;
}

void limit_simulation::cut(unsigned size, duration span)
{
    cut_size_ = size;
    cut_until_ = events_.now() + span;
}

void limit_simulation::restart(unsigned gateway, duration span)
{
    gateways_[gateway].exchange = token_exchange(events_.now());
    gateways_[gateway].refused_until = {};
    std::erase_if(waiting_, [&](const auto& it) { return it.second.gateway == gateway; });
    events_.schedule(
        span,
        [this, gateway]
        { gateways_[gateway].exchange.set_fleet(fleet(), gateways_[gateway].address); });
}

void limit_simulation::schedule_demand()
{
    const double pause = std::exponential_distribution<double>(options_.demand)(random_);
    events_.schedule(
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(pause)),
        [this]
        {
            const bool is_first = gateways_.size() == 1 || draw() < options_.first_share;
            const auto others = static_cast<double>(gateways_.size() - 1);
            on_request(is_first ? 0 : 1 + static_cast<unsigned>(draw() * others));
            schedule_demand();
        });
}

void limit_simulation::on_request(unsigned to)
{
    gateway& it = gateways_[to];
    if (events_.now() < it.silent_until || events_.now() < it.refused_until)
    {
        return;
    }
    const token_id id{++last_token_};
    waiting_[id] = {to, events_.now(), options_.limit};
    it.exchange.request(
        id, server_, options_.limit, options_.max_wait, exchange_random_, events_.now());
    flush(to);
}

void limit_simulation::flush(unsigned of)
{
    gateway& it = gateways_[of];
    for (const outgoing_limit_message& sent : it.exchange.take_outgoing())
    {
        deliver(of, sent);
    }
    for (const decided_token& got : it.exchange.take_decided())
    {
        const duration asked_for = events_.now() - waiting_[got.id].since;
        const double limit = waiting_[got.id].limit;
        waiting_.erase(got.id);
        if (!got.decision.is_granted)
        {
            it.refused_until = events_.now() + got.decision.wait;
            continue;
        }
        waits_ += asked_for + got.decision.wait;
        ++granted_;
        if (options_.voids_lowered && limit > options_.limit)
        {
            give_back(of);
            continue;
        }
        unused_[got.id] = of;
        events_.schedule(got.decision.wait + send_delay,
                         [this, of, id = got.id] { send(of, id); });
    }
    schedule_tick(of);
}

void limit_simulation::send(unsigned of, token_id id)
{
    const bool is_void = unused_.erase(id) == 0;
    if (!is_void && events_.now() >= gateways_[of].silent_until)
    {
        arrivals_.push_back(events_.now());
    }
}

void limit_simulation::give_back(unsigned of)
{
    gateway& it = gateways_[of];
    it.exchange.give_back(server_, events_.now());
    for (const outgoing_limit_message& sent : it.exchange.take_outgoing())
    {
        deliver(of, sent);
    }
}

void limit_simulation::set_limit(double limit)
{
    const bool has_fallen = limit < options_.limit;
    options_.limit = limit;
    if (options_.voids_lowered && has_fallen)
    {
        for (const auto& [id, of] : std::exchange(unused_, {}))
        {
            give_back(of);
        }
    }
}

void limit_simulation::schedule_tick(unsigned of)
{
    const std::optional<time_point> at = gateways_[of].exchange.next_timeout();
    if (!at)
    {
        return;
    }
    events_.schedule(std::max<duration>(*at - events_.now(), duration(1)),
                     [this, of]
                     {
                         const std::optional<time_point> due =
                             gateways_[of].exchange.next_timeout();
                         if (due && *due <= events_.now())
                         {
                             gateways_[of].exchange.tick(exchange_random_, events_.now());
                             flush(of);
                         }
                     });
}

void limit_simulation::deliver(unsigned from, const outgoing_limit_message& sent)
{
    if (events_.now() < gateways_[from].silent_until)
    {
        return;
    }
    ++messages_;
    const unsigned copies = (draw() >= options_.lost_fraction ? 1 : 0) +
                            (draw() < options_.repeated_fraction ? 1 : 0);
    for (unsigned n = 0; n < copies; ++n)
    {
        const double delay = min_delay_us + draw() * (max_delay_us - min_delay_us);
        events_.schedule(
            duration(static_cast<duration::rep>(delay)),
            [this, from, sent]
            {
                for (unsigned to = 0; to < gateways_.size(); ++to)
                {
                    const bool is_cut_off = events_.now() < cut_until_ &&
                                            (from < cut_size_) != (to < cut_size_);
                    const bool is_received =
                        gateways_[to].address == sent.to &&
                        events_.now() >= gateways_[to].silent_until && !is_cut_off;
                    if (is_received)
                    {
                        gateways_[to].exchange.receive(sent.message, events_.now());
                        flush(to);
                    }
                }
            });
    }
}

std::size_t limit_simulation::worst_window(time_point from) const
{
    return busiest_window(arrivals_, window, from);
}

double limit_simulation::used_fraction(time_point from) const
{
    const auto n = std::count_if(arrivals_.begin(),
                                 arrivals_.end(),
                                 [&](const time_point& it) { return it >= from; });
    return static_cast<double>(n) / (options_.limit * to_seconds(events_.now() - from));
}

double limit_simulation::messages_per_second() const
{
    return static_cast<double>(messages_) / to_seconds(events_.now() - started_at_);
}

double limit_simulation::mean_wait_ms() const
{
    const auto n = static_cast<double>(std::max<std::size_t>(granted_, 1));
    return std::chrono::duration<double, std::milli>(waits_).count() / n;
}

std::size_t limit_simulation::undecided() const
{
    return waiting_.size();
}

} // namespace camphorrock::testing
