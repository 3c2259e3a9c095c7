#pragma once

// Keeps this gateway's requests to servers with a rate limit within what the servers take
// from the whole fleet: runs a token_exchange on datagrams, and tells the members of this
// gateway's group the limits that it knows, and which servers are cold by their answers.
// No message is sent while no server has a limit.
//
//     const token_id id = agent.request_token(server, rate, max_wait, done);
//     agent.withdraw(id);                   // `done` is not called any more

#include "core/gateway/limits/token_exchange.hpp"
#include "gateway/gateway_state.hpp"
#include "net/event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace camphorrock
{

class limit_agent
{
public:
    using send_function = std::function<void(const endpoint&, std::string_view)>;
    using decision_callback = std::function<void(token_decision)>;

    // `loop` and `state` must outlive the agent. `send` sends a datagram to a gateway.
    limit_agent(event_loop& loop, gateway_state& state, send_function send);
    limit_agent(const limit_agent&) = delete;
    limit_agent& operator=(const limit_agent&) = delete;

    // Asks for a token of a server whose limit is `rate`, due within `max_wait`. Calls
    // `done` exactly once, never inside this call, unless withdraw() is called before.
    // A token that is granted and not used must be returned.
    token_id request_token(const server_id& server,
                           double rate,
                           duration max_wait,
                           decision_callback done);

    // No effect after the decision.
    void withdraw(token_id id);

    // A token that was granted is not used.
    void return_token(const server_id& server);

    // Something that does not wait for a token was sent to a server with that limit.
    void spend(const server_id& server, double rate);

    // To be called after an answer changed what this gateway knows of limits.
    void on_limits_changed();

    // To be called with each datagram that another gateway sent. Returns false for one
    // that is of another kind.
    bool on_datagram(std::string_view datagram);

private:
    void set_fleet();
    // Sends what the exchange has produced, posts its decisions, and sets its timer.
    void flush();
    void post_decision(const decided_token& decided);
    void adopt(const limits_notice& notice);
    void send_notice();
    void send_to_group(const limit_message& message);
    // The message with its rate lowered to the one that this gateway knows.
    limit_message lowered(limit_message message) const;
    void expire();

    event_loop& loop_;
    gateway_state& state_;
    send_function send_;
    token_exchange exchange_;
    std::map<token_id, decision_callback> waiting_;
    bool is_notice_posted_ = false;
    timer_handle reply_timer_;
    timer_handle notice_timer_;
    // Expires with this object; posted callbacks check it.
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace camphorrock
