#pragma once

// One request of a client on its way: chosen a server, sent, sent again where that is
// allowed, and answered exactly once.
//
// Invariants:
//   - a request that may not be repeated is sent again only where it is certain that no
//     server ran it: nothing was sent, or the server said so;
//   - an answer that says "not run" is given only where no sending may have run it;
//   - a sending that is given up closes its connection, so that the server stops;
//   - nothing waits for a time that has been found to be out of reach.

#include "core/gateway/gateway_routes.hpp"
#include "gateway/gateway_codec.hpp"
#include "gateway/gateway_log.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/own_answer.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace camphorrock
{

// What all relays of a gateway use.
struct relay_parts
{
    event_loop& loop;
    http_client& http;
    gateway_state& state;
    const gateway_codec& codec;
    gateway_log& log;
    // Told of each request for a key, and of each refusal by a server that should own it.
    std::function<void(const service_name&, shard_key)> on_key_request;
    std::function<void(const service_name&, shard_key)> on_key_refused;
};

class request_relay : public std::enable_shared_from_this<request_relay>
{
public:
    using ended_callback = std::function<void(const std::shared_ptr<request_relay>&)>;

    request_relay(relay_parts& parts,
                  http_request request,
                  std::shared_ptr<http_responder> responder,
                  ended_callback on_ended);

    // Begins; may end at once.
    void start();

    // Something changed that a waiting request may have waited for.
    void wake();

    const std::string& request_id() const
    {
        return request_id_;
    }

private:
    // The owner of the request's key, or why there is none.
    struct key_owner
    {
        std::optional<server_id> owner;
        bool is_known = false;
    };

    bool read_request();
    void try_send();
    key_owner find_owner() const;
    void send_to(const server_choice& to);
    http_request make_upstream_request(const server_choice& to, duration left) const;
    void on_end(const exchange_result& got);
    attempt_end classify(const exchange_result& got) const;
    bool is_sound(const http_response& answer) const;
    void after_failure(attempt_end how, const exchange_result& got);
    bool may_send_again(attempt_end how);
    void wait();
    void on_deadline();
    void on_client_gone();
    void pass_on(http_response answer);
    void answer_self(own_reason why);
    own_reason reason_after(attempt_end how) const;
    duration left() const;
    duration longest_expected() const;
    duration longest_wait() const;
    duration retry_after() const;
    void end();

    relay_parts& parts_;
    http_request request_;
    std::shared_ptr<http_responder> responder_;
    ended_callback on_ended_;

    std::string request_id_;
    gateway_route route_;
    service_name service_;
    std::optional<shard_key> key_;
    time_point arrived_{};
    time_point deadline_{};

    std::optional<exchange_id> exchange_;
    server_choice sent_to_;
    time_point sent_at_{};
    std::vector<server_id> tried_;
    unsigned sendings_ = 0;  // that reached a server, or may have
    unsigned refusals_ = 0;  // by servers that did not run it
    duration refused_for_{}; // what was expected, where that was too long
    bool may_have_run_ = false;
    bool is_waiting_ = false;
    bool is_ended_ = false;
    timer_handle deadline_timer_;
    timer_handle pause_;
};

} // namespace camphorrock
