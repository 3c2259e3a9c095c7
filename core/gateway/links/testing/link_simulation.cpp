#include "core/gateway/links/testing/link_simulation.hpp"

#include "core/gateway/fleet/testing/make_fleet.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace camphorrock::testing
{
namespace
{

constexpr duration min_round_trip = microseconds(500);
constexpr duration max_round_trip = milliseconds(2);
constexpr duration connect_timeout = milliseconds(250);
constexpr duration ack_timeout = milliseconds(1500);
constexpr duration probe_timeout = milliseconds(100);
constexpr duration check_period = milliseconds(100);
constexpr duration notice_period = seconds(2);
constexpr unsigned max_failed_connects = 3;
constexpr std::size_t max_tried_peers = 6;

} // namespace

duration median_latency(const link_counts& of)
{
    if (of.latencies.empty())
    {
        return duration::zero();
    }
    std::vector<duration> values = of.latencies;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

link_simulation::link_simulation(link_simulation_options options)
    : options_(options), random_(options.seed), choices_(options.seed)
{
    const std::vector<fleet_gateway> fleet =
        make_fleet(options_.gateways, options_.zones);
    for (unsigned n = 0; n < options_.gateways; ++n)
    {
        gateway& it = gateways_.emplace_back();
        it.entry = fleet[n];
        it.peers.set_fleet(fleet, it.entry);
        index_of_[it.entry.peer] = n;
        schedule_arrival(n);
        schedule_check(n);
    }
}

double link_simulation::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

duration link_simulation::round_trip()
{
    const auto span = static_cast<double>((max_round_trip - min_round_trip).count());
    return min_round_trip + duration(static_cast<duration::rep>(draw() * span));
}

link_simulation::request* link_simulation::find(request_number n)
{
    const auto found = requests_.find(n);
    return found == requests_.end() ? nullptr : &found->second;
}

link_counts& link_simulation::counts_of(const request& it)
{
    return it.is_cut_off ? cut_off_ : others_;
}

void link_simulation::count(duration span)
{
    cut_off_ = {};
    others_ = {};
    for (gateway& it : gateways_)
    {
        it.attempts = 0;
    }
    notices_ = 0;
    is_counting_ = true;
    run(span);
    is_counting_ = false;
    run(options_.time_limit + milliseconds(1));
}

unsigned link_simulation::most_attempts() const
{
    unsigned most = 0;
    for (const gateway& it : gateways_)
    {
        most = std::max(most, it.attempts);
    }
    return most;
}

double link_simulation::mean_attempts() const
{
    double sum = 0;
    unsigned n = 0;
    for (const gateway& it : gateways_)
    {
        sum += it.is_cut ? 0 : it.attempts;
        n += it.is_cut ? 0 : 1;
    }
    return n == 0 ? 0 : sum / n;
}

unsigned link_simulation::lost_now() const
{
    return static_cast<unsigned>(std::count_if(
        gateways_.begin(),
        gateways_.end(),
        [](const gateway& it) { return it.monitor.state() == link_state::lost; }));
}

void link_simulation::cut(unsigned n, simulated_cut how)
{
    how_ = how;
    cut_at_ = events_.now();
    last_noticed_after_ = {};
    for (unsigned g = 0; g < n; ++g)
    {
        gateways_[g].is_cut = true;
    }
    if (how == simulated_cut::refuse_new)
    {
        return;
    }
    for (auto& [number, it] : requests_)
    {
        const bool is_affected = it.attempt != 0 && gateways_[it.at].is_cut;
        if (!is_affected)
        {
            continue;
        }
        const std::uint64_t attempt = ++last_attempt_; // its answer does not arrive
        gateways_[it.at].monitor.attempt_ended(
            it.attempt, attempt_evidence::none, {}, events_.now());
        it.attempt = attempt;
        it.may_have_run = true;
        if (how == simulated_cut::reset)
        {
            events_.schedule(duration::zero(),
                             [this, n = number, attempt]
                             {
                                 request* lost = find(n);
                                 if (lost != nullptr && lost->attempt == attempt)
                                 {
                                     end_attempt(n, attempt_evidence::unreached);
                                 }
                             });
            continue;
        }
        gateways_[it.at].monitor.attempt_started(attempt, options_.work, events_.now());
    }
}

void link_simulation::heal()
{
    for (gateway& it : gateways_)
    {
        it.is_cut = false;
    }
}

void link_simulation::schedule_arrival(unsigned g)
{
    const double pause = std::exponential_distribution<double>(options_.rate)(random_);
    events_.schedule(
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(pause)),
        [this, g]
        {
            on_arrival(g);
            schedule_arrival(g);
        });
}

void link_simulation::schedule_check(unsigned g)
{
    events_.schedule(check_period,
                     [this, g]
                     {
                         const link_state before = gateways_[g].monitor.state();
                         gateways_[g].monitor.check_silence(events_.now());
                         update(g, before);
                         schedule_check(g);
                     });
}

void link_simulation::on_arrival(unsigned g)
{
    const request_number n = ++last_number_;
    request& it = requests_[n];
    it.origin = g;
    it.at = g;
    it.arrived = events_.now();
    it.deadline = it.arrived + options_.time_limit;
    it.is_repeatable = draw() < options_.repeatable_fraction;
    it.is_counted = is_counting_;
    it.is_cut_off = gateways_[g].is_cut;
    if (it.is_counted)
    {
        ++counts_of(it).sent;
    }
    events_.schedule(options_.time_limit, [this, n] { on_deadline(n); });
    try_send(n);
}

void link_simulation::try_send(request_number n)
{
    request* it = find(n);
    if (it == nullptr || it->attempt != 0)
    {
        return;
    }
    gateway& at = gateways_[it->at];
    switch (at.monitor.state())
    {
    case link_state::suspected:
        at.waiting.push_back(n);
        return;
    case link_state::lost:
        it->at == it->origin ? go_by_peer(n) : decline(n);
        return;
    case link_state::up:
        break;
    }
    send_direct(n);
}

bool link_simulation::is_connect_lost()
{
    return draw() < options_.lost_connect_fraction;
}

void link_simulation::send_direct(request_number n)
{
    request& it = requests_.at(n);
    gateway& at = gateways_[it.at];
    const std::uint64_t attempt = ++last_attempt_;
    it.attempt = attempt;
    at.monitor.attempt_started(attempt, options_.work, events_.now());
    const bool is_kept = draw() < options_.kept_fraction;
    const bool is_open = !at.is_cut || (how_ == simulated_cut::refuse_new && is_kept);
    if (is_open && (is_kept || !is_connect_lost()))
    {
        run_at_server(n, attempt);
        return;
    }
    if (at.is_cut && how_ == simulated_cut::hang && is_kept)
    {
        it.may_have_run = true; // it was sent
        events_.schedule(ack_timeout,
                         [this, n, attempt]
                         {
                             request* sent = find(n);
                             if (sent != nullptr && sent->attempt == attempt)
                             {
                                 end_attempt(n, attempt_evidence::unreached);
                             }
                         });
        return;
    }
    const bool is_refused = at.is_cut && how_ != simulated_cut::hang;
    fail_connect(n, attempt, is_refused ? round_trip() : connect_timeout);
}

void link_simulation::run_at_server(request_number n, std::uint64_t attempt)
{
    request& it = requests_.at(n);
    ++gateways_[it.at].attempts;
    ++it.runs;
    it.may_have_run = true;
    if (!it.is_repeatable && it.runs > 1)
    {
        ++broken_;
    }
    const double factor = 0.5 + draw();
    const auto work = static_cast<double>(options_.work.count()) * factor;
    events_.schedule(round_trip() + duration(static_cast<duration::rep>(work)),
                     [this, n, attempt]
                     {
                         request* done = find(n);
                         if (done != nullptr && done->attempt == attempt)
                         {
                             end_attempt(n, attempt_evidence::reached);
                         }
                     });
}

void link_simulation::fail_connect(request_number n,
                                   std::uint64_t attempt,
                                   duration after)
{
    events_.schedule(after,
                     [this, n, attempt]
                     {
                         request* it = find(n);
                         if (it != nullptr && it->attempt == attempt)
                         {
                             ++it->failed_connects;
                             end_attempt(n, attempt_evidence::unreached);
                         }
                     });
}

void link_simulation::end_attempt(request_number n, attempt_evidence evidence)
{
    request& it = requests_.at(n);
    const unsigned g = it.at;
    const link_state before = gateways_[g].monitor.state();
    // Each attempt goes to another server.
    const server_id server("s" + std::to_string(it.attempt));
    gateways_[g].monitor.attempt_ended(
        std::exchange(it.attempt, 0), evidence, server, events_.now());
    update(g, before);
    if (evidence == attempt_evidence::reached)
    {
        answer(n, &link_counts::served);
        return;
    }
    const bool may_be_sent = it.is_repeatable || !it.may_have_run;
    if (!may_be_sent)
    {
        answer(n, &link_counts::unknown);
        return;
    }
    if (it.failed_connects > max_failed_connects && g == it.origin)
    {
        go_by_peer(n);
        return;
    }
    try_send(n);
}

void link_simulation::go_by_peer(request_number n)
{
    request& it = requests_.at(n);
    gateway& origin = gateways_[it.origin];
    const bool may_go = options_.is_forwarding &&
                        it.tried_peers.size() < max_tried_peers &&
                        events_.now() < it.deadline;
    const std::optional<endpoint> to =
        may_go ? origin.peers.choose(it.tried_peers, choices_, events_.now())
               : std::nullopt;
    if (!to)
    {
        answer(n, it.may_have_run ? &link_counts::unknown : &link_counts::refused);
        return;
    }
    origin.peers.started(*to);
    it.tried_peers.push_back(*to);
    it.peer = to;
    it.failed_connects = 0;
    it.at = index_of_.at(*to);
    events_.schedule(round_trip() / 2, [this, n] { try_send(n); });
}

// The gateway that has the request does not take it on.
void link_simulation::decline(request_number n)
{
    events_.schedule(round_trip() / 2,
                     [this, n]
                     {
                         request* it = find(n);
                         if (it == nullptr)
                         {
                             return;
                         }
                         gateways_[it->origin].peers.ended(*std::exchange(it->peer, {}),
                                                           peer_end::declined,
                                                           events_.now());
                         it->at = it->origin;
                         go_by_peer(n);
                     });
}

void link_simulation::tell_all(unsigned g, bool is_cut_off)
{
    for (unsigned to = 0; to < gateways_.size(); ++to)
    {
        if (to == g)
        {
            continue;
        }
        notices_ += is_counting_ ? 1 : 0;
        if (draw() < options_.lost_notice_fraction)
        {
            continue;
        }
        events_.schedule(round_trip() / 2,
                         [this, g, to, is_cut_off]
                         {
                             gateways_[to].peers.note_cut_off(
                                 gateways_[g].entry.peer, is_cut_off, events_.now());
                         });
    }
    if (is_cut_off)
    {
        events_.schedule(notice_period,
                         [this, g]
                         {
                             if (gateways_[g].monitor.state() == link_state::lost)
                             {
                                 tell_all(g, true);
                             }
                         });
    }
}

// Repeatable requests that hang at a server are sent again.
void link_simulation::on_links_lost(unsigned g)
{
    std::vector<request_number> stranded;
    for (const auto& [n, it] : requests_)
    {
        if (it.at == g && it.attempt != 0 && it.is_repeatable)
        {
            stranded.push_back(n);
        }
    }
    for (const request_number n : stranded)
    {
        request& it = requests_.at(n);
        gateways_[g].monitor.attempt_ended(
            std::exchange(it.attempt, 0), attempt_evidence::none, {}, events_.now());
        try_send(n);
    }
}

void link_simulation::on_deadline(request_number n)
{
    request* it = find(n);
    if (it == nullptr)
    {
        return;
    }
    if (it->attempt != 0)
    {
        gateways_[it->at].monitor.attempt_ended(
            it->attempt, attempt_evidence::none, {}, events_.now());
    }
    answer(n, it->may_have_run ? &link_counts::unknown : &link_counts::refused);
}

void link_simulation::answer(request_number n, unsigned link_counts::*as)
{
    const request it = requests_.at(n);
    requests_.erase(n);
    if (it.peer)
    {
        gateways_[it.origin].peers.ended(*it.peer, peer_end::taken, events_.now());
    }
    const bool is_dishonest = as == &link_counts::refused && it.runs > 0;
    broken_ += is_dishonest ? 1 : 0;
    if (!it.is_counted)
    {
        return;
    }
    link_counts& counts = counts_of(it);
    ++(counts.*as);
    if (as == &link_counts::served)
    {
        counts.latencies.push_back(events_.now() - it.arrived);
    }
}

void link_simulation::update(unsigned g, link_state before)
{
    gateway& it = gateways_[g];
    const unsigned probes = it.monitor.begin_round(events_.now());
    if (probes > 0)
    {
        start_round(g, probes);
    }
    const link_state now = it.monitor.state();
    if (now == link_state::lost && before != link_state::lost)
    {
        ++losses_;
        false_losses_ += it.is_cut ? 0 : 1;
        last_noticed_after_ = it.is_cut ? events_.now() - cut_at_ : last_noticed_after_;
        tell_all(g, true);
        on_links_lost(g);
    }
    if (now == link_state::up && before == link_state::lost)
    {
        tell_all(g, false);
    }
    if (now != link_state::suspected)
    {
        for (const request_number n : std::exchange(it.waiting, {}))
        {
            try_send(n);
        }
    }
}

void link_simulation::start_round(unsigned g, unsigned probes)
{
    const gateway& it = gateways_[g];
    probe_round round{probes, 0, false};
    for (unsigned n = 0; n < probes; ++n)
    {
        round.accepted += !it.is_cut && !is_connect_lost() ? 1 : 0;
    }
    probes_ += probes;
    const bool is_refused = it.is_cut && how_ != simulated_cut::hang;
    const bool is_suspected = it.monitor.state() == link_state::suspected;
    const bool is_early =
        is_refused || round.accepted == probes || (is_suspected && round.accepted > 0);
    events_.schedule(is_early ? round_trip() : probe_timeout,
                     [this, g, round]
                     {
                         const link_state before = gateways_[g].monitor.state();
                         gateways_[g].monitor.end_round(round, events_.now());
                         update(g, before);
                     });
}

} // namespace camphorrock::testing
