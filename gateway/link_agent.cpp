#include "gateway/link_agent.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration check_period = milliseconds(100);
constexpr duration max_check_lateness = milliseconds(50);
// A round that takes longer was held up by this gateway's own loop.
constexpr duration max_round_time = server_probe::timeout + milliseconds(60);

} // namespace

link_agent::link_agent(event_loop& loop,
                       gateway_state& state,
                       gateway_log& log,
                       http_client& http)
    : loop_(loop), state_(state), log_(log), probe_(http)
{
}

link_agent::attempt_number link_agent::attempt_started(duration expected_latency)
{
    const attempt_number id = ++last_attempt_;
    monitor_.attempt_started(id, expected_latency, loop_.now());
    update();
    return id;
}

void link_agent::attempt_ended(attempt_number id,
                               attempt_evidence evidence,
                               const server_id& server)
{
    const link_state before = monitor_.state();
    monitor_.attempt_ended(id, evidence, server, loop_.now());
    note_state(before);
    update();
}

void link_agent::check_ended(const endpoint& server, ended_callback done)
{
    probe_.check(server,
                 [this, done = std::move(done)](probe_end end)
                 {
                     if (end != probe_end::refused)
                     {
                         done(false);
                         return;
                     }
                     confirm_ended(done);
                 });
}

// Goes on after a round of probes.
void link_agent::confirm_ended(ended_callback done)
{
    monitor_.suspect_crash();
    update();
    when_known([done = std::move(done)](link_state state)
               { done(state == link_state::up); });
}

void link_agent::when_known(known_callback done)
{
    if (monitor_.state() == link_state::suspected)
    {
        waiting_.push_back(std::move(done));
        return;
    }
    loop_.post([done = std::move(done), state = monitor_.state()] { done(state); });
}

// Starts the round that is due, if any, and keeps the timer while there may be more.
void link_agent::update()
{
    const unsigned probes = monitor_.begin_round(loop_.now());
    if (probes > 0)
    {
        start_round(probes);
    }
    if (!monitor_.needs_timer())
    {
        check_timer_.reset();
        return;
    }
    if (!check_timer_)
    {
        last_check_at_ = loop_.now();
        check_timer_ = loop_.every(check_period, [this] { on_check(); });
    }
}

void link_agent::on_check()
{
    const time_point now = loop_.now();
    const bool is_late = now - last_check_at_ > check_period + max_check_lateness;
    last_check_at_ = now;
    if (!is_late)
    {
        monitor_.check_silence(now);
    }
    update();
}

// Without a known server, the round ends with no probe asked.
void link_agent::start_round(unsigned probes)
{
    const std::vector<endpoint> servers = draw_servers(probes);
    const std::uint64_t number = ++round_number_;
    const auto asked = static_cast<unsigned>(servers.size());
    is_round_in_flight_ = true;
    round_ = {{asked, 0, false}, asked, loop_.now()};
    for (const endpoint& it : servers)
    {
        probe_.check(it, [this, number](probe_end end) { on_probe_end(number, end); });
    }
    if (servers.empty())
    {
        empty_round_timer_ = loop_.after(duration::zero(), [this] { end_round(); });
    }
}

// Servers of a drained data centre may be out of service.
std::vector<endpoint> link_agent::draw_servers(unsigned n) const
{
    std::vector<endpoint> all;
    for (const auto& [id, it] : state_.servers().all())
    {
        if (!it.is_missing && !it.is_past_evacuation(loop_.now()))
        {
            all.push_back(it.entry.address);
        }
    }
    std::shuffle(all.begin(), all.end(), state_.random());
    all.resize(std::min<std::size_t>(all.size(), n));
    return all;
}

// While a suspicion is checked, the first accepted probe ends the round.
void link_agent::on_probe_end(std::uint64_t round, probe_end end)
{
    if (!is_round_in_flight_ || round != round_number_)
    {
        return;
    }
    --round_.unanswered;
    round_.result.accepted += end == probe_end::accepted ? 1 : 0;
    const bool is_decided =
        monitor_.state() == link_state::suspected && round_.result.accepted > 0;
    if (is_decided || round_.unanswered == 0)
    {
        end_round();
    }
}

void link_agent::end_round()
{
    const time_point now = loop_.now();
    const link_state before = monitor_.state();
    is_round_in_flight_ = false;
    round_.result.is_late = now - round_.started > max_round_time;
    if (before == link_state::suspected)
    {
        log_.links_probed(monitor_.suspicion(), round_.result, now - round_.started);
    }
    monitor_.end_round(round_.result, now);
    note_state(before);
    update();
}

void link_agent::note_state(link_state before)
{
    const link_state now = monitor_.state();
    const bool is_lost = now == link_state::lost && before != link_state::lost;
    const bool is_back = now == link_state::up && before == link_state::lost;
    if (is_lost)
    {
        lost_at_ = loop_.now();
        log_.links_lost(monitor_.suspicion(), round_.result);
    }
    if (is_back)
    {
        log_.links_back(loop_.now() - lost_at_);
    }
    if (is_lost || is_back)
    {
        for (const std::function<void()>& it : listeners_)
        {
            it();
        }
    }
    if (now != link_state::suspected)
    {
        for (known_callback& it : std::exchange(waiting_, {}))
        {
            loop_.post([done = std::move(it), now] { done(now); });
        }
    }
}

} // namespace camphorrock
