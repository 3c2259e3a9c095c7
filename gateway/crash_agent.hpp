#pragma once

// Keeps requests that crash servers from ending one server after the other: runs a
// crash_exchange on datagrams, and finds out whether a server has ended under an attempt
// that was cut off. No message is sent while no server ends under a request, but for two
// questions after the start.
//
//     if (agent.standing_of(fingerprint) == crash_standing::suspected)
//         id = agent.request_trial(trial, done);
//     agent.report(attempt, trial_end::completed); // after a permission
//     agent.check_crash(attempt, done);            // an attempt was cut off

#include "core/gateway/retry/crash_exchange.hpp"
#include "gateway/gateway_log.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/link_agent.hpp"
#include "net/event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

// An attempt that its agent is told of.
struct watched_attempt
{
    std::string request_id;
    service_name service;
    request_fingerprint request;
    server_id server;
    endpoint address;
    time_point started_at{};
    time_point ended_at{};
    std::optional<trial_id> trial; // empty: it had no permission
};

class crash_agent
{
public:
    using send_function = std::function<void(const endpoint&, std::string_view)>;
    using answer_callback = std::function<void(trial_answer)>;
    using crash_callback = std::function<void()>;

    // `loop`, `state`, `log` and `links` must outlive the agent. `send` sends a datagram
    // to a gateway.
    crash_agent(event_loop& loop,
                gateway_state& state,
                gateway_log& log,
                link_agent& links,
                send_function send);
    crash_agent(const crash_agent&) = delete;
    crash_agent& operator=(const crash_agent&) = delete;

    // False if all requests are clear, so that no fingerprint is needed.
    bool has_suspects() const
    {
        return !exchange_.suspects().is_empty();
    }

    crash_standing standing_of(const request_fingerprint& request) const
    {
        return exchange_.suspects().standing_of(request);
    }

    // Asks for the permission to send a suspect; `attempt.trial` is not used. Calls
    // `done` exactly once, never inside this call, unless withdraw() is called before. An
    // attempt that is permitted must end in report() or check_crash().
    trial_id request_trial(const watched_attempt& attempt,
                           duration lifetime,
                           answer_callback done);

    // `done` is not called any more, and a permission is given back.
    void withdraw(trial_id id);

    // The attempt of a suspect ended without being cut off.
    void report(const watched_attempt& attempt, trial_end end);

    // The attempt was cut off after it was sent. Calls `done`, never inside this call,
    // when it is known whether its server has ended.
    void check_crash(const watched_attempt& attempt, crash_callback done);

    // An operator's word: the request may be sent again, by all gateways.
    void lift(const request_fingerprint& request);

    // Sets the callback for verdicts that this gateway made, or took back.
    void on_verdicts(std::function<void(const std::vector<suspect_row>&)> callback)
    {
        on_verdicts_ = std::move(callback);
    }

    // Verdicts that were kept: tells all gateways.
    void restore(const std::vector<suspect_row>& verdicts);

    // To be called with each datagram that another gateway sent. Returns false for one
    // that is of another kind.
    bool on_datagram(std::string_view datagram);

private:
    struct waiting_attempt
    {
        watched_attempt attempt;
        answer_callback done; // empty: it was withdrawn
    };

    void set_fleet();
    duration age_of(time_point at) const;
    // Sends what the exchange has produced, posts its decisions, and sets its timer.
    void flush();
    void post_answer(const decided_trial& decided);
    void deliver(const decided_trial& decided);

    event_loop& loop_;
    gateway_state& state_;
    gateway_log& log_;
    link_agent& links_;
    send_function send_;
    std::function<void(const std::vector<suspect_row>&)> on_verdicts_; // may be empty
    crash_exchange exchange_;
    std::map<trial_id, waiting_attempt> waiting_;
    timer_handle timeout_timer_;
    timer_handle expire_timer_;
    // Expires with this object; posted callbacks check it.
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace camphorrock
