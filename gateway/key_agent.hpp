#pragma once

// Keeps this gateway's assignment of keys to servers up to date: reports the requests for
// keys to the assigner, and receives assignments in the assigner's messages or, while the
// assigner does not respond, from the record in the store. While this gateway is itself
// the assigner, it sends the assignments to the other gateways; after that it tells the
// next assigner which of its grants may still be carried out.

#include "codec/key_messages.hpp"
#include "core/gateway/owners/assignment_delta.hpp"
#include "gateway/assigner_role.hpp"
#include "net/rpc_client.hpp"
#include "net/rpc_server.hpp"

#include <map>
#include <memory>

namespace camphorrock
{

class key_agent
{
public:
    // What `context` refers to, `rpc` and `server` must outlive the agent. Adds the
    // methods keys.report and keys.update to `server`.
    key_agent(const assigner_role_context& context, rpc_client& rpc, rpc_server& server);
    key_agent(const key_agent&) = delete;
    key_agent& operator=(const key_agent&) = delete;

    // Counts a request for the key: in the next report, or at once while this gateway is
    // the assigner.
    void add_request(const service_name& service, shard_key key);
    // Reports early that a server refused the key although it is assigned to that server.
    void add_refusal(const service_name& service, shard_key key);

    // True if every keyed service has an assignment.
    bool has_assignments() const;

    // Resigns the assigner's role if this gateway holds it, and takes part in no further
    // election.
    void shut_down()
    {
        role_.shut_down();
    }

private:
    // A gateway that reports to this one while this one is the assigner.
    struct reporter
    {
        fleet_gateway sender;
        time_point last_report_at{}; // or when this gateway became the assigner
        bool has_reported = false;   // since then
        bool is_update_in_flight = false;
        // By its last report, or by a later update that it has acknowledged.
        assignment_version known_version;
    };

    void send_report();
    void send_term_end();
    void on_term_end_reply(const endpoint& to, const rpc_result& got);
    void schedule_report(time_point at);
    void schedule_prompt_report();
    void on_holder_changed();
    duration report_period() const;
    std::vector<fleet_gateway> reporting_fleet() const;
    void on_report_reply(const endpoint& to, const rpc_result& got);
    result<Json::Value> handle_report(const Json::Value& params);
    result<Json::Value> handle_update(const Json::Value& params);
    result<Json::Value> handle_term_end(const Json::Value& params);
    result<Json::Value> handle_restart(const Json::Value& params);
    result<Json::Value> handle_end_term(const Json::Value& params);
    void ask_predecessor();
    void on_end_reply(const rpc_result& got);
    void begin_term();
    void publish(const key_assignment& assignment);
    void send_update(const endpoint& to);
    void poll_record();
    void fetch_record();
    keys_update update_since(assignment_version known_version) const;
    void apply_update(const keys_update& update);
    void adopt(const key_assignment& assignment);
    key_requests& pending_requests_of(const service_name& service);

    assigner_role_context context_;
    rpc_client& rpc_;
    std::vector<key_requests> pending_requests_; // for the next report
    std::map<endpoint, reporter> reporters_;
    time_point term_began_at_{}; // the last one in which this gateway is the assigner
    assignment_history history_; // of the assignments that this gateway has published
    bool is_report_in_flight_ = false;
    bool is_report_pending_ = false; // another one is due after the one in flight
    time_point last_report_sent_{};  // when it was sent
    time_point next_report_at_{};
    time_point last_assigner_reply_{}; // when it arrived
    bool is_term_end_in_flight_ = false;
    // The assigner that knows how this gateway's last term as the assigner ended.
    std::optional<endpoint> term_end_known_to_;
    assigner_role role_;
    timer_handle report_timer_;
    timer_handle record_poll_timer_;
    timer_handle predecessor_timer_;
    unsigned predecessor_questions_ = 0; // since this gateway was elected
    // Expires with this object; pending callbacks of the store and of calls check it.
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace camphorrock
