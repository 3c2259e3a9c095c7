#include "gateway/crash_agent.hpp"

#include "codec/crash_codec.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration expire_period = seconds(1);

crash_exchange_options make_options()
{
    crash_exchange_options made;
    made.max_rows_in_notice = max_suspects_in_notice;
    return made;
}

} // namespace

crash_agent::crash_agent(event_loop& loop,
                         gateway_state& state,
                         gateway_log& log,
                         link_agent& links,
                         send_function send)
    : loop_(loop), state_(state), log_(log), links_(links), send_(std::move(send)),
      exchange_(make_options())
{
    set_fleet();
    state_.on_fleet_change([this] { set_fleet(); });
    expire_timer_ = loop_.every(expire_period, [this] { exchange_.expire(loop_.now()); });
}

void crash_agent::set_fleet()
{
    exchange_.set_fleet(state_.gateways(), state_.settings().peer, loop_.now());
    flush();
}

trial_id crash_agent::request_trial(const watched_attempt& attempt,
                                    duration lifetime,
                                    answer_callback done)
{
    trial_request trial;
    trial.id = trial_id{state_.draw_id()};
    trial.service = attempt.service;
    trial.request = attempt.request;
    trial.server = attempt.server;
    trial.lifetime = lifetime;
    const trial_id id = trial.id;
    waiting_attempt& it = waiting_[id];
    it = {attempt, std::move(done)};
    it.attempt.trial = id;
    it.attempt.started_at = loop_.now();
    exchange_.request(std::move(trial), loop_.now());
    flush();
    return id;
}

void crash_agent::withdraw(trial_id id)
{
    const auto found = waiting_.find(id);
    if (found == waiting_.end())
    {
        return;
    }
    found->second.done = nullptr;
    if (exchange_.withdraw(id, loop_.now()))
    {
        waiting_.erase(found);
    }
    flush();
}

duration crash_agent::age_of(time_point at) const
{
    return std::min<duration>(loop_.now() - at, max_crash_message_time);
}

void crash_agent::report(const watched_attempt& attempt, trial_end end)
{
    trial_report made;
    made.id = attempt.trial.value_or(trial_id{state_.draw_id()});
    made.service = attempt.service;
    made.request = attempt.request;
    made.end = end;
    made.server = attempt.server;
    made.started_ago = age_of(attempt.started_at);
    made.ended_ago = age_of(attempt.ended_at);
    exchange_.report(made, loop_.now());
    flush();
}

void crash_agent::check_crash(const watched_attempt& attempt, crash_callback done)
{
    links_.check_ended(attempt.address,
                       [this,
                        attempt,
                        done = std::move(done),
                        alive = std::weak_ptr<const bool>(alive_)](bool has_ended)
                       {
                           if (alive.expired())
                           {
                               return;
                           }
                           log_.server_probed(attempt.request_id,
                                              attempt.request,
                                              attempt.server,
                                              has_ended);
                           if (has_ended)
                           {
                               report(attempt, trial_end::crashed);
                           }
                           else if (attempt.trial)
                           {
                               report(attempt, trial_end::unknown);
                           }
                           done();
                       });
}

void crash_agent::lift(const request_fingerprint& request)
{
    exchange_.lift(request, loop_.now());
    flush();
}

void crash_agent::restore(const std::vector<suspect_row>& verdicts)
{
    exchange_.restore(verdicts, loop_.now());
    flush();
}

bool crash_agent::on_datagram(std::string_view datagram)
{
    const std::optional<crash_message> message = decode_crash_message(datagram);
    if (!message)
    {
        return false;
    }
    exchange_.receive(*message, loop_.now());
    flush();
    return true;
}

void crash_agent::flush()
{
    for (const outgoing_crash_message& it : exchange_.take_outgoing())
    {
        send_(it.to, encode_crash_message(it.message));
    }
    for (const decided_trial& it : exchange_.take_decided())
    {
        post_answer(it);
    }
    for (const suspect_row& it : exchange_.take_news())
    {
        log_.suspect_changed(it);
    }
    const std::vector<suspect_row> verdicts = exchange_.take_verdicts();
    if (on_verdicts_ && !verdicts.empty())
    {
        on_verdicts_(verdicts);
    }
    const std::optional<time_point> timeout = exchange_.next_timeout();
    if (!timeout)
    {
        timeout_timer_.reset();
        return;
    }
    timeout_timer_ = loop_.at(*timeout,
                              [this]
                              {
                                  exchange_.tick(loop_.now());
                                  flush();
                              });
}

void crash_agent::post_answer(const decided_trial& decided)
{
    loop_.post(
        [this, decided, alive = std::weak_ptr<const bool>(alive_)]
        {
            if (!alive.expired())
            {
                deliver(decided);
            }
        });
}

void crash_agent::deliver(const decided_trial& decided)
{
    const auto found = waiting_.find(decided.id);
    const waiting_attempt it = std::move(found->second);
    waiting_.erase(found);
    if (it.done)
    {
        it.done(decided.answer);
        return;
    }
    if (decided.answer == trial_answer::run)
    {
        report(it.attempt, trial_end::unknown);
    }
}

} // namespace camphorrock
