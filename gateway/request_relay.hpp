#pragma once

// Relays one request of a client: chooses a server, sends the request, retries it where
// that is allowed, and answers the client exactly once, unless the client disconnects
// first.
//
// Invariants:
//   - a request that is not repeatable is sent again only if it is certain that no server
//     ran it: nothing was sent, or the server said that it did not run the request;
//   - the answer says "not run" only if no attempt can have run the request; a server's
//     status that reads so, without its word, proves nothing and is not passed on unless
//     the request is repeatable;
//   - nothing is sent for a client that has left, also if the loop is late to handle
//     that;
//   - a cancelled attempt closes its connection, so that the server stops working on it;
//   - nothing is sent to a server of a drained data centre, also if it was chosen before:
//     to an owner of keys after the stop time, to others at once;
//   - nothing is sent to a server with a rate limit without a token of the fleet;
//   - a request under which a server has crashed is sent with a permission of the fleet
//     only, and one that is known to crash servers is not sent;
//   - a request goes by another gateway if this one cannot reach its server, but not if a
//     server may have run it and it is not repeatable, nor if another gateway has
//     forwarded it;
//   - no two attempts of an unrepeatable request use one connection: an answer that comes
//     on it twice could not be told from that to the second one;
//   - a repeatable request whose attempt is probably lost is sent again, if a server has
//     room for it; one that may only be late is waited for;
//   - a request does not wait if the expected answer or the next owner of its key is
//     already known to come too late;
//   - a request is in one phase (request_progress.hpp), and only what belongs to it goes
//     on with the request: entering a phase ends the timer, the callbacks and the
//     questions to other components of the one before.

#include "core/gateway/config/gateway_routes.hpp"
#include "core/gateway/relay/request_progress.hpp"
#include "gateway/crash_agent.hpp"
#include "gateway/forward_protocol.hpp"
#include "gateway/gateway_codec.hpp"
#include "gateway/gateway_log.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/limit_agent.hpp"
#include "gateway/link_agent.hpp"
#include "gateway/local_answer.hpp"
#include "gateway/peer_agent.hpp"
#include "gateway/reservation_agent.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace camphorrock
{

// What all relays of a gateway share.
struct relay_context
{
    event_loop& loop;
    http_client& http;
    gateway_state& state;
    const gateway_codec& codec;
    gateway_log& log;
    // Called with the key of each request, and with each key that a server refused
    // although it is assigned to that server.
    std::function<void(const service_name&, shard_key)> on_key_request;
    std::function<void(const service_name&, shard_key)> on_key_refused;
    reservation_agent* reservations = nullptr; // null: owners' requests are not counted
    limit_agent* limits = nullptr;             // null: servers' rate limits are not kept
    crash_agent* crashes = nullptr;            // null: crashes of servers are not noted
    link_agent* links = nullptr;               // null: links to servers are not watched
    peer_agent* peers = nullptr;               // null: nothing is forwarded
    time_point answer_by = time_point::max();  // all requests are answered by then
    bool refuses_requests = false;             // that arrive from now on
};

class request_relay : public std::enable_shared_from_this<request_relay>
{
public:
    using ended_callback = std::function<void(const std::shared_ptr<request_relay>&)>;

    // `forwarded` is empty for the request of a client.
    request_relay(relay_context& context,
                  http_request request,
                  std::shared_ptr<http_responder> responder,
                  ended_callback on_ended,
                  std::optional<forward_terms> forwarded = {});

    // Starts relaying. May call `on_ended` before it returns.
    void start();

    // To be called after each change of the gateway's state. A request that waits for an
    // owner of its key is sent if there is a new one.
    void on_state_changed();

    // To be called when this gateway has lost its links to the servers. A repeatable
    // request that is in flight at one goes by another gateway.
    void on_links_lost();

    // Moves the deadline to `when`, if that is earlier.
    void answer_by(time_point when);

    const std::string& request_id() const
    {
        return request_id_;
    }

private:
    // For the answer to reach the client.
    static constexpr duration answer_margin = milliseconds(10);

    enum class cancel_reason
    {
        silence,  // no response came in time
        unwanted, // the answer is not needed any more, or not from there
    };

    struct cancelled_attempt
    {
        bool may_be_sent = false;               // its server may have received any of it
        std::optional<silence_class> silence{}; // set if it was sent and got no response
    };

    struct key_owner
    {
        server_id server;
        epoch grant_epoch;

        bool operator==(const key_owner&) const = default;
    };

    // An owner that refused the key, and how often it did so under that epoch.
    struct owner_refusal
    {
        key_owner by;
        unsigned count = 0;
    };

    // A token for one attempt at a server with a rate limit, or the request for it.
    struct attempt_token
    {
        server_choice to;
        double rate = 0;               // the server's limit, in requests a second
        std::optional<token_id> asked; // empty after the decision
        time_point usable_at{};        // valid if granted
        bool is_used = false;
    };

    // The permission for one attempt of a suspect, or the request for it.
    struct attempt_permission
    {
        server_choice to;
        std::optional<trial_id> asked;   // empty after the answer
        std::optional<trial_id> granted; // empty before it, and after the attempt
    };

    // A reservation at the owner of the key, and its result.
    struct owner_reservation
    {
        server_id owner;
        std::optional<reservation> held; // empty: no gateway counts for the owner
        bool is_answered = false;
        std::optional<unsigned> other_requests; // in flight there, if known
    };

    // The gateway that has the request, and why it was forwarded.
    struct forwarding
    {
        endpoint to;
        forward_reason why;
    };

    // Enters a phase. Returns false, without effect, if an attempt is in flight or the
    // request has ended.
    bool enter(request_phase to);
    // Gives up what the present phase waits for.
    void end_wait();
    // Calls `go_on` at that time or after that span, unless the phase is left before.
    void set_phase_timer(time_point when, void (request_relay::*go_on)());
    void set_phase_timer(duration span, void (request_relay::*go_on)());
    // Returns a function that calls `go_on`, unless the present phase has been left.
    template<class... Args>
    std::function<void(Args...)> in_this_phase(void (request_relay::*go_on)(Args...));

    bool read_request();
    void try_send();
    std::optional<server_choice> choose_server(server_criteria criteria);
    // The servers that were not tried and run no other suspect.
    server_criteria untried_servers() const;
    admission_request admission_terms() const;
    bool require_owner(server_criteria& criteria);
    void send_with_limits(const server_choice& to);
    void send_if_owner_allows(const server_choice& to);
    bool is_reserved_at(const server_id& owner) const;
    void reserve_at(const server_id& owner);
    void on_reservation_reply(std::optional<unsigned> other_requests);
    void release_reservation();
    std::optional<key_owner> find_owner() const;
    unsigned refusals_by(const key_owner& owner) const;
    bool may_send_to_owner(const key_owner& owner);
    void note_refusal();
    std::optional<double> limit_of(const server_choice& to) const;
    bool is_token_outdated() const;
    // Goes on without a token that waits for its time and is outdated.
    void return_outdated_token();
    // How long the request may wait for a token for the server.
    duration longest_token_wait(const server_choice& to) const;
    void ask_for_token(const server_choice& to, double rate);
    void on_token_decision(token_decision decision);
    void send_with_token();
    bool is_token_missing() const;
    void release_token();
    void send_to(const server_choice& to);
    exchange_options common_options(duration connect_timeout) const;
    connection_choice next_connection() const;
    std::function<bool(const http_response&)> own_answer_check() const;
    http_request make_upstream_request(const server_choice& to, duration time_left) const;
    void on_exchange_end(const exchange_result& got);
    attempt_end classify(const exchange_result& got) const;
    std::size_t earlier_attempts_at_address() const;
    bool is_valid_answer(const http_response& answer) const;
    static bool is_from_intended_server(attempt_end how);
    void note_server_state(const http_response& answer);
    void note_load(const http_response& answer);
    void note_limit(const http_response& answer);
    void note_warm_up(const http_response& answer);
    void note_link(attempt_evidence evidence);
    void pause_server(const std::string& asked);
    bool is_server_paused() const;
    bool is_server_closed() const;
    void on_withdrawn();
    void on_no_choice(const std::optional<server_id>& owner);
    void on_full_server(const server_choice& to);
    void wait_for_room(duration span);
    void on_attempt_failed(attempt_end how,
                           const exchange_result& got,
                           std::optional<silence_class> silence);
    void log_failed_attempt(attempt_end how,
                            const exchange_result& got,
                            bool is_sent_again,
                            std::optional<silence_class> silence);
    const request_fingerprint& fingerprint();
    crash_standing standing();
    bool is_permitted(const server_id& server) const;
    bool is_permission_missing();
    void ask_for_permission(const server_choice& to);
    void on_permission_answer(trial_answer answer);
    bool may_still_use(const server_choice& to) const;
    void wait_for_permission();
    watched_attempt last_attempt();
    void note_attempt_end(attempt_end how);
    void check_crash();
    void release_permission();
    bool may_retry(attempt_end how) const;
    bool claim_retry(attempt_end how);
    bool is_cut_off() const;
    void wait_for_links();
    void on_links_known(link_state);
    bool may_go_by_peer() const;
    void go_by_peer(forward_reason why);
    bool try_peer(forward_reason why);
    void send_to_peer(const endpoint& to, forward_reason why);
    http_request make_forwarded_request() const;
    forward_end classify_forward(exchange_result& got) const;
    void on_peer_end(exchange_result got);
    void finish_forward(forward_end how, http_response answer);
    void decline(forward_end reason);
    void wait_for_owner();
    // Sends the request if there is an owner that has not refused it.
    void try_new_owner();
    void start_deadline_timer();
    void on_deadline();
    // The attempt in flight has ended.
    void end_flight();
    cancelled_attempt cancel_attempt(cancel_reason why);
    void watch_for_silence(duration span);
    void on_silence_check();
    bool can_replace_attempt();
    void end_attempt(attempt_end how, duration elapsed);
    std::optional<silence_class> note_silence(duration elapsed);
    void note_given_up(duration elapsed);
    void on_client_left(bool is_noticed_late);
    void forward_answer(http_response answer);
    // Sends the request to no further server, and cancels an attempt in flight. Where
    // `wanted` says "not run" and an attempt may have run the request, the reason is that
    // of a lost attempt.
    void answer_locally(local_answer_reason wanted);
    local_answer_reason reason_after(attempt_end how) const;
    duration time_left() const;
    duration max_expected_latency() const;
    duration owner_wait_limit() const;
    duration retry_after() const;
    void finish();

    relay_context& context_;
    http_request request_;
    std::shared_ptr<http_responder> responder_;
    ended_callback on_ended_; // releases this relay

    std::optional<forward_terms> forwarded_; // empty for the request of a client
    std::string request_id_;
    gateway_route route_;
    service_name service_;
    std::optional<shard_key> key_;
    time_point arrived_{};
    time_point deadline_{};

    std::optional<owner_reservation> reservation_;   // for the next or current attempt
    std::optional<attempt_token> token_;             // for the next or current attempt
    std::optional<attempt_permission> permission_;   // for the next or current attempt
    std::optional<request_fingerprint> fingerprint_; // empty until it is needed
    std::vector<server_id> busy_servers_;            // that run other suspects
    std::optional<time_point> permission_wait_end_;  // of a suspect that waits
    request_progress progress_;
    timer_handle phase_timer_;                    // of the present phase
    std::optional<exchange_id> exchange_;         // the attempt in flight
    link_agent::attempt_number link_attempt_ = 0; // of the last attempt
    std::optional<forwarding> forwarding_;        // in flight, if one is
    std::vector<endpoint> tried_peers_;           // in order
    server_choice sent_to_;                       // of the last attempt
    time_point sent_at_{};                        // of the last attempt
    std::vector<server_choice> tried_;            // one for each attempt, in order
    key_owner sent_to_owner_;                     // of the last attempt with a key
    std::optional<owner_refusal> refusal_;        // the last one, if any
    unsigned possible_runs_ = 0;    // attempts that may have run the request
    unsigned attempts_not_run_ = 0; // failed attempts that did not run the request
    std::optional<rejected_latency> rejected_; // the last one, if any
    std::optional<missing_room> missing_room_; // by which it was refused, if it was
    bool is_admitted_ = false;                 // noted as sent to the service
    // Until a server that may run the request takes requests again; zero if one does.
    duration pause_left_{};
    bool may_have_run_ = false;
    bool has_waited_for_room_ = false;
    // Of the attempt in flight, once its server has passed over it; see server_pool.
    std::optional<silence_class> passed_over_;
    timer_handle deadline_timer_;
};

template<class... Args>
std::function<void(Args...)>
request_relay::in_this_phase(void (request_relay::*go_on)(Args...))
{
    return [weak = weak_from_this(), number = progress_.number(), go_on](Args... args)
    {
        const std::shared_ptr<request_relay> self = weak.lock();
        if (self && self->progress_.is_current(number))
        {
            ((*self).*go_on)(std::move(args)...);
        }
    };
}

} // namespace camphorrock
