#include "core/gateway/links/link_monitor.hpp"

#include "core/base/enum_names.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr enum_names<link_state, 3> state_names{{{
    {link_state::up, "up"},
    {link_state::suspected, "suspected"},
    {link_state::lost, "lost"},
}}};

constexpr enum_names<link_suspicion, 3> suspicion_names{{{
    {link_suspicion::failures, "failures"},
    {link_suspicion::silence, "silence"},
    {link_suspicion::crash, "crash"},
}}};

} // namespace

std::string_view name_of(link_state value)
{
    return state_names.name(value);
}

std::string_view name_of(link_suspicion value)
{
    return suspicion_names.name(value);
}

void link_monitor::attempt_started(std::uint64_t id,
                                   duration expected_latency,
                                   time_point now)
{
    const duration limit = std::max<duration>(options_.silence_limit,
                                              expected_latency * options_.silence_factor);
    attempts_[id] = {now, now + limit};
}

void link_monitor::attempt_ended(std::uint64_t id,
                                 attempt_evidence evidence,
                                 const server_id& server,
                                 time_point now)
{
    attempts_.erase(id);
    switch (evidence)
    {
    case attempt_evidence::reached:
        last_reached_at_ = now;
        failed_servers_.clear();
        if (state_ == link_state::suspected && suspicion_ != link_suspicion::crash)
        {
            set_up(now);
            next_round_at_ = now; // the answer may have arrived before a cut
        }
        break;
    case attempt_evidence::unreached:
        failed_servers_.insert(server);
        if (failed_servers_.size() >= options_.failed_servers_to_suspect &&
            now >= next_round_at_)
        {
            suspect(link_suspicion::failures);
        }
        break;
    case attempt_evidence::none:
        break;
    }
}

void link_monitor::suspect_crash()
{
    suspect(link_suspicion::crash);
}

void link_monitor::check_silence(time_point now)
{
    if (state_ != link_state::up || now < next_round_at_)
    {
        return;
    }
    const bool is_silent =
        std::any_of(attempts_.begin(),
                    attempts_.end(),
                    [&](const auto& it)
                    {
                        const attempt& row = it.second;
                        return now >= row.overdue_at && last_reached_at_ < row.started;
                    });
    if (is_silent)
    {
        suspect(link_suspicion::silence);
    }
}

void link_monitor::suspect(link_suspicion why)
{
    if (state_ == link_state::up)
    {
        state_ = link_state::suspected;
        suspicion_ = why;
        late_rounds_ = 0;
    }
}

void link_monitor::set_up(time_point now)
{
    state_ = link_state::up;
    next_round_at_ = now + options_.round_pause;
    failed_servers_.clear();
}

unsigned link_monitor::begin_round(time_point now)
{
    const bool is_due = state_ == link_state::suspected ||
                        (state_ == link_state::lost && now >= next_round_at_);
    if (!is_due || is_round_in_flight_)
    {
        return 0;
    }
    is_round_in_flight_ = true;
    return state_ == link_state::lost ? options_.probes_per_return_round
                                      : options_.probes_per_round;
}

void link_monitor::end_round(const probe_round& round, time_point now)
{
    is_round_in_flight_ = false;
    if (state_ == link_state::suspected)
    {
        end_suspicion(round, now);
        return;
    }
    if (state_ == link_state::lost)
    {
        count_return_round(round, now);
    }
}

void link_monitor::end_suspicion(const probe_round& round, time_point now)
{
    if (round.accepted > 0 || round.asked == 0)
    {
        set_up(now);
        return;
    }
    if (round.is_late)
    {
        ++late_rounds_;
        if (late_rounds_ > options_.max_late_rounds)
        {
            set_up(now);
        }
        return;
    }
    state_ = link_state::lost;
    return_rounds_ = 0;
    next_round_at_ = now + options_.return_period;
}

void link_monitor::count_return_round(const probe_round& round, time_point now)
{
    const bool is_accepted = round.accepted == round.asked;
    return_rounds_ = is_accepted ? return_rounds_ + 1 : 0;
    next_round_at_ = now + options_.return_period;
    if (return_rounds_ >= options_.rounds_to_return)
    {
        set_up(now);
    }
}

} // namespace camphorrock
