#pragma once

// Keeps this gateway's requests to servers with a rate limit within what the servers take
// from the whole fleet: asks the gateway that counts for a server for a token before a
// request is sent to it, and counts for the servers for which this gateway was chosen.
// Tells the members of this gateway's group the limits that it knows.
//
//     const token_id id = agent.request_token(server, rate, max_wait, done);
//     agent.withdraw(id);                   // `done` is not called any more
//
// The messages are datagrams. If the gateway that counts stays silent, the next in rank
// is asked, which hands out fewer tokens; without any, this gateway goes by
// random_permits. No message is sent while no server has a limit.

#include "codec/limit_codec.hpp"
#include "core/gateway/random_permits.hpp"
#include "core/gateway/token_counter.hpp"
#include "gateway/gateway_state.hpp"
#include "net/event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace camphorrock
{

// Identifies a request for a token until its decision.
struct token_id
{
    std::uint64_t value = 0;

    auto operator<=>(const token_id&) const = default;
};

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
    struct pending_token
    {
        server_id server;
        double rate = 0;
        duration max_wait{};
        decision_callback done;
        endpoint asked;
        unsigned attempts = 0;
        timer_handle timeout;
    };

    // How a gateway that counts has answered lately.
    struct counter_health
    {
        unsigned missed_replies = 0; // consecutive
        time_point silent_until{};
    };

    void ask(token_id id);
    void on_reply_timeout(token_id id);
    void end_wait(token_id id, const token_decision& decision);
    void post_decision(token_id id, const token_decision& decision);
    void take_permit(token_id id);
    std::optional<endpoint> choose_counter(const server_id& server) const;
    bool is_preferred(const server_id& server) const;
    std::size_t assumed_fleet_size() const;
    void handle(const token_request& request);
    void handle(const token_reply& reply);
    void handle(const token_unused& unused);
    void handle(const token_spent& spent);
    void handle(const limits_notice& notice);
    void send_notice();
    void expire();

    event_loop& loop_;
    gateway_state& state_;
    send_function send_;
    token_counter counter_;
    random_permits permits_;
    std::map<token_id, pending_token> pending_;
    std::map<endpoint, counter_health> counters_;
    bool is_notice_posted_ = false;
    timer_handle notice_timer_;
    // Expires with this object; posted callbacks check it.
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace camphorrock
