#pragma once

// Gets tokens from the gateways that count for servers with a rate limit, and counts for
// the servers for which this gateway was chosen; see token_counter.hpp.
//
//     exchange.set_fleet(fleet, self);
//     exchange.request(id, server, rate, max_wait, random, now);
//     exchange.receive(message, now);    // of another gateway
//     exchange.tick(random, now);        // at next_timeout()
//     for (const outgoing_limit_message& it : exchange.take_outgoing()) send(it);
//     for (const decided_token& it : exchange.take_decided()) ...
//
// A request whose reply is lost is repeated. A gateway that stays silent is left out for
// a while, and the next in rank is asked, which hands out fewer tokens. Without
// any, random_permits decides. Each request gets one decision unless it is withdrawn.
//
// Memory: one row for each request without a decision; see token_counter for the rest.

#include "core/gateway/fleet/counting_gateways.hpp"
#include "core/gateway/limits/limit_messages.hpp"
#include "core/gateway/limits/random_permits.hpp"
#include "core/gateway/limits/token_counter.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace camphorrock
{

struct token_exchange_options
{
    duration reply_timeout = milliseconds(50);
    counting_gateways_options counting;
    unsigned max_attempts = 4; // of one request
    token_counter_options counter;
    random_permits_options permits;
};

struct outgoing_limit_message
{
    endpoint to;
    limit_message message;
};

struct decided_token
{
    token_id id;
    token_decision decision;
};

class token_exchange
{
public:
    // `started_at` is when this gateway was started.
    explicit token_exchange(time_point started_at, token_exchange_options options = {});

    // Sets the gateways of the fleet; `self` is this gateway's address.
    void set_fleet(const std::vector<fleet_gateway>& fleet, const endpoint& self);

    // Asks for a token of a server with that limit, due within `max_wait`.
    void request(token_id id,
                 const server_id& server,
                 double rate,
                 duration max_wait,
                 std::minstd_rand& random,
                 time_point now);

    // No effect after the decision. A token that is on its way lapses.
    void withdraw(token_id id);

    // A token that was granted is not used.
    void give_back(const server_id& server, time_point now);

    // Something that does not wait for a token was sent to a server with that limit.
    void spend(const server_id& server, double rate, time_point now);

    // A message of another gateway; notices have no effect here.
    void receive(const limit_message& message, time_point now);

    // Repeats the requests whose replies are late.
    void tick(std::minstd_rand& random, time_point now);

    // When tick() has something to do; empty while no reply is awaited.
    std::optional<time_point> next_timeout() const;

    // Drops what is idle. To be called now and then.
    void expire(time_point now);

    std::vector<outgoing_limit_message> take_outgoing();
    std::vector<decided_token> take_decided();

private:
    struct pending_token
    {
        server_id server;
        double rate = 0;
        duration max_wait{};
        endpoint asked;
        unsigned attempts = 0;
        time_point timeout{}; // for the reply
    };

    void ask(token_id id, pending_token& it, std::minstd_rand& random, time_point now);
    void decide(token_id id, const token_decision& decision);
    // Hands the message to the gateway that counts for its server, if there is one.
    template<class Message>
    void tell_counter(const Message& message, time_point now);
    bool is_preferred(const server_id& server) const;
    void handle(const token_request& request, time_point now);
    void handle(const token_reply& reply, time_point now);
    void handle(const token_unused& unused, time_point now);
    void handle(const token_spent& spent, time_point now);
    void handle(const limits_notice& notice, time_point now);
    void handle(const warm_ups_notice& notice, time_point now);

    token_exchange_options options_;
    counting_gateways gateways_;
    std::size_t largest_fleet_ = 0;
    token_counter counter_;
    random_permits permits_;
    std::map<token_id, pending_token> pending_;
    std::vector<outgoing_limit_message> outgoing_;
    std::vector<decided_token> decided_;
};

} // namespace camphorrock
