#include "core/gateway/retry/testing/crash_simulation.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock::testing
{
namespace
{

constexpr double min_delay_us = 300;
constexpr double max_delay_us = 3000;
constexpr duration retry_delay = milliseconds(20); // of a suspect that waits
constexpr duration max_wait = milliseconds(300);   // of a suspect
constexpr duration check_time = milliseconds(2);   // until a crash is known
constexpr duration lifetime = seconds(1);          // of a request
constexpr unsigned crashes_before_bound = 3;
constexpr duration bound_delay = seconds(3);

} // namespace

crash_simulation::crash_simulation(crash_simulation_options options)
    : options_(options), random_(options.seed)
{
    for (unsigned n = 0; n < options_.gateways; ++n)
    {
        gateway& it = gateways_.emplace_back();
        it.address = endpoint("10.0." + std::to_string(n / 250) + "." +
                              std::to_string(n % 250) + ":1");
    }
    for (unsigned n = 0; n < options_.gateways && options_.is_shared; ++n)
    {
        gateways_[n].exchange.set_fleet(fleet(), gateways_[n].address, events_.now());
        flush(n);
    }
    for (unsigned n = 0; n < options_.servers; ++n)
    {
        servers_.push_back({server_id("s" + std::to_string(n)), true});
    }
    set_rates(options_.good_rate, options_.hot_rate, options_.bad_rate);
}

void crash_simulation::set_rates(double good, double hot, double bad)
{
    options_.good_rate = good;
    options_.hot_rate = hot;
    options_.bad_rate = bad;
    ++arrivals_generation_;
    for (const request_kind it :
         {request_kind::good, request_kind::hot, request_kind::bad})
    {
        schedule_arrivals(it);
    }
}

double crash_simulation::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

std::vector<fleet_gateway> crash_simulation::fleet() const
{
    std::vector<fleet_gateway> made;
    for (const gateway& it : gateways_)
    {
        made.push_back({it.address, data_centre("z"), 100});
    }
    return made;
}

unsigned crash_simulation::counting_gateway() const
{
    const endpoint first = ranked_gateways_of(fleet(), service_.str(), 1).front();
    unsigned n = 0;
    while (gateways_[n].address != first)
    {
        ++n;
    }
    return n;
}

void crash_simulation::silence(unsigned gateway, duration span)
{
    gateways_[gateway].silent_until = events_.now() + span;
}

void crash_simulation::restart(unsigned gateway)
{
    gateways_[gateway].exchange = crash_exchange();
    gateways_[gateway].exchange.set_fleet(
        fleet(), gateways_[gateway].address, events_.now());
    std::erase_if(requests_,
                  [&](const auto& it) { return it.second.gateway == gateway; });
    flush(gateway);
}

void crash_simulation::cut(unsigned size, duration span)
{
    cut_size_ = size;
    cut_until_ = events_.now() + span;
}

unsigned crash_simulation::late_bad_crashes() const
{
    if (bad_crashes_.size() <= crashes_before_bound)
    {
        return 0;
    }
    const time_point bound = bad_crashes_[crashes_before_bound - 1] + bound_delay;
    return static_cast<unsigned>(std::count_if(bad_crashes_.begin(),
                                               bad_crashes_.end(),
                                               [&](const time_point& it)
                                               { return it > bound; }));
}

request_counts& crash_simulation::counts_of(request_kind kind)
{
    switch (kind)
    {
    case request_kind::hot:
        return hot_;
    case request_kind::bad:
        return bad_;
    case request_kind::good:
        break;
    }
    return good_;
}

void crash_simulation::schedule_arrivals(request_kind kind)
{
    const double rate = kind == request_kind::good  ? options_.good_rate
                        : kind == request_kind::hot ? options_.hot_rate
                                                    : options_.bad_rate;
    if (rate <= 0)
    {
        return;
    }
    const double pause = std::exponential_distribution<double>(rate)(random_);
    events_.schedule(
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(pause)),
        [this, kind, generation = arrivals_generation_]
        {
            if (generation == arrivals_generation_)
            {
                on_arrival(kind);
                schedule_arrivals(kind);
            }
        });
}

void crash_simulation::on_arrival(request_kind kind)
{
    const request_number n = ++last_number_;
    request& it = requests_[n];
    it.kind = kind;
    it.gateway = static_cast<unsigned>(draw() * options_.gateways);
    const std::string path = kind == request_kind::good  ? "/good/" + std::to_string(n)
                             : kind == request_kind::hot ? "/hot"
                                                         : "/bad";
    it.fingerprint = fingerprint_of({"GET", "h", path, "", ""});
    ++counts_of(kind).sent;
    try_send(n);
}

std::optional<unsigned> crash_simulation::choose_server(const request& it)
{
    std::vector<unsigned> up;
    for (unsigned n = 0; n < servers_.size(); ++n)
    {
        const bool is_busy =
            std::find(it.busy.begin(), it.busy.end(), n) != it.busy.end();
        if (servers_[n].is_up && !is_busy)
        {
            up.push_back(n);
        }
    }
    if (up.empty())
    {
        return std::nullopt;
    }
    return up[static_cast<std::size_t>(draw() * static_cast<double>(up.size()))];
}

void crash_simulation::try_send(request_number n)
{
    const auto found = requests_.find(n);
    if (found == requests_.end())
    {
        return;
    }
    request& it = found->second;
    const crash_standing standing =
        options_.is_protected
            ? gateways_[it.gateway].exchange.suspects().standing_of(it.fingerprint)
            : crash_standing::clear;
    if (standing == crash_standing::condemned)
    {
        finish(n, &request_counts::condemned);
        return;
    }
    const std::optional<unsigned> server = choose_server(it);
    if (!server && !it.busy.empty())
    {
        wait(n);
        return;
    }
    if (!server)
    {
        finish(n, &request_counts::failed);
        return;
    }
    if (standing == crash_standing::suspected)
    {
        ask(n, *server);
        return;
    }
    start(n, *server);
}

void crash_simulation::ask(request_number n, unsigned server)
{
    const request& it = requests_.at(n);
    trial_request trial;
    trial.id = trial_id{random_()};
    trial.service = service_;
    trial.request = it.fingerprint;
    trial.server = servers_[server].id;
    trial.lifetime = lifetime;
    asked_[trial.id] = {n, server};
    gateways_[it.gateway].exchange.request(trial, events_.now());
    flush(it.gateway);
}

void crash_simulation::on_answer(request_number n, unsigned server, trial_answer answer)
{
    request& it = requests_.at(n);
    switch (answer)
    {
    case trial_answer::run:
        it.busy.clear();
        start(n, server);
        return;
    case trial_answer::wait:
        wait(n);
        return;
    case trial_answer::other_server:
        it.busy.push_back(server);
        break;
    case trial_answer::condemned:
    case trial_answer::cleared:
        break;
    }
    try_send(n);
}

void crash_simulation::wait(request_number n)
{
    request& it = requests_.at(n);
    it.busy.clear();
    it.wait_end = it.wait_end.value_or(events_.now() + max_wait);
    if (events_.now() >= *it.wait_end)
    {
        finish(n, &request_counts::suspected);
        return;
    }
    events_.schedule(retry_delay, [this, n] { try_send(n); });
}

void crash_simulation::start(request_number n, unsigned server)
{
    request& it = requests_.at(n);
    it.server = server;
    it.started_at = events_.now();
    if (!servers_[server].is_up)
    {
        end_attempt(n, trial_end::unknown);
        try_send(n);
        return;
    }
    ++it.attempts;
    const double factor = 0.5 + draw();
    events_.schedule(duration(static_cast<duration::rep>(
                         static_cast<double>(options_.work.count()) * factor)),
                     [this, n, attempt = it.attempts]
                     {
                         const auto found = requests_.find(n);
                         const bool is_running = found != requests_.end() &&
                                                 found->second.attempts == attempt;
                         if (is_running)
                         {
                             on_run_end(n);
                         }
                     });
}

void crash_simulation::on_run_end(request_number n)
{
    const request& it = requests_.at(n);
    if (it.kind == request_kind::bad)
    {
        bad_crashes_.push_back(events_.now());
        crash(it.server);
        return;
    }
    if (draw() < options_.cut_fraction)
    {
        on_lost(n, false);
        return;
    }
    end_attempt(n, trial_end::completed);
    finish(n, &request_counts::answered);
}

// Ends the attempt, as its gateway sees it.
void crash_simulation::end_attempt(request_number n, trial_end end)
{
    request& it = requests_.at(n);
    gateway& at = gateways_[it.gateway];
    const bool is_suspect =
        options_.is_protected &&
        at.exchange.suspects().standing_of(it.fingerprint) != crash_standing::clear;
    const bool is_told = it.trial || end == trial_end::crashed ||
                         (end == trial_end::completed && is_suspect);
    if (is_told && options_.is_protected)
    {
        const trial_id id = it.trial.value_or(trial_id{random_()});
        trial_report report;
        report.id = id;
        report.service = service_;
        report.request = it.fingerprint;
        report.end = end;
        report.server = servers_[it.server].id;
        report.started_ago = events_.now() - it.started_at;
        report.ended_ago = end == trial_end::crashed ? check_time : duration();
        at.exchange.report(report, events_.now());
        it.trial.reset();
        flush(it.gateway);
    }
}

void crash_simulation::crash(unsigned server)
{
    if (!servers_[server].is_up)
    {
        return;
    }
    servers_[server].is_up = false;
    events_.schedule(options_.restart_time,
                     [this, server] { servers_[server].is_up = true; });
    for (auto& [n, it] : requests_)
    {
        const bool is_there = it.attempts > 0 && it.server == server;
        if (is_there)
        {
            it.attempts += 100; // its run does not end any more
            events_.schedule(check_time,
                             [this, number = n]
                             {
                                 if (requests_.contains(number))
                                 {
                                     requests_.at(number).attempts -= 100;
                                     on_lost(number, true);
                                 }
                             });
        }
    }
}

void crash_simulation::on_lost(request_number n, bool is_crash)
{
    end_attempt(n, is_crash ? trial_end::crashed : trial_end::unknown);
    request& it = requests_.at(n);
    const bool is_repeatable = it.kind != request_kind::bad || options_.is_bad_repeatable;
    if (!is_repeatable || it.attempts >= options_.max_attempts)
    {
        finish(n, &request_counts::failed);
        return;
    }
    try_send(n);
}

void crash_simulation::finish(request_number n, unsigned request_counts::*as)
{
    const auto found = requests_.find(n);
    ++(counts_of(found->second.kind).*as);
    requests_.erase(found);
}

void crash_simulation::lose_servers(unsigned n)
{
    for (unsigned server = 0; server < n; ++server)
    {
        crash(server);
    }
}

void crash_simulation::flush(unsigned of)
{
    crash_exchange& exchange = gateways_[of].exchange;
    for (const outgoing_crash_message& it : exchange.take_outgoing())
    {
        deliver(of, it);
    }
    for (const decided_trial& it : exchange.take_decided())
    {
        events_.schedule(duration(0),
                         [this, it]
                         {
                             const auto [n, server] = asked_.at(it.id);
                             asked_.erase(it.id);
                             if (!requests_.contains(n))
                             {
                                 return; // its gateway restarted
                             }
                             if (it.answer == trial_answer::run)
                             {
                                 requests_.at(n).trial = it.id;
                             }
                             on_answer(n, server, it.answer);
                         });
    }
    schedule_tick(of);
}

void crash_simulation::schedule_tick(unsigned of)
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
                             gateways_[of].exchange.tick(events_.now());
                             flush(of);
                         }
                     });
}

void crash_simulation::deliver(unsigned from, const outgoing_crash_message& sent)
{
    ++messages_;
    if (events_.now() < gateways_[from].silent_until || draw() < options_.lost_fraction)
    {
        return;
    }
    const auto found =
        std::find_if(gateways_.begin(),
                     gateways_.end(),
                     [&](const gateway& it) { return it.address == sent.to; });
    const auto to = static_cast<unsigned>(found - gateways_.begin());
    const double delay = min_delay_us + draw() * (max_delay_us - min_delay_us);
    events_.schedule(duration(static_cast<duration::rep>(delay)),
                     [this, from, to, sent]
                     {
                         const bool is_cut_off = events_.now() < cut_until_ &&
                                                 (from < cut_size_) != (to < cut_size_);
                         if (events_.now() >= gateways_[to].silent_until && !is_cut_off)
                         {
                             gateways_[to].exchange.receive(sent.message, events_.now());
                             flush(to);
                         }
                     });
}

} // namespace camphorrock::testing
