#pragma once

// Keeps this gateway's view of who owns which keys: reports the requests for keys to the
// assigner, and takes its assignments, from its messages or, where it is not reached,
// from the record in the store. While this gateway is the assigner, it sends the
// assignments to the other gateways.

#include "codec/key_messages.hpp"
#include "core/gateway/assignment_delta.hpp"
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
    // `rpc` and `server` must outlive the agent.
    key_agent(assigner_role_parts parts, rpc_client& rpc, rpc_server& server);
    key_agent(const key_agent&) = delete;
    key_agent& operator=(const key_agent&) = delete;

    void requested(const service_name& service, shard_key key);
    void refused(const service_name& service, shard_key key);

    // True where every service that is divided by key has an assignment.
    bool is_complete() const;

    // Gives the assigner's role up.
    void leave()
    {
        role_.leave();
    }

private:
    struct reporter
    {
        fleet_gateway sender;
        time_point seen{};
        bool is_busy = false;     // an update is under way
        assignment_version known; // by its report, or by an update that it took
    };

    void report();
    void report_at(time_point at);
    void report_promptly();
    void holder_changed();
    duration report_period() const;
    std::vector<fleet_gateway> fleet() const;
    void on_reply(const endpoint& to, const rpc_result& got);
    result<Json::Value> take_report(const Json::Value& params);
    result<Json::Value> take_update(const Json::Value& params);
    void publish(const key_assignment& assignment);
    void send_update(const endpoint& to);
    void read_record();
    void fetch_record();
    keys_update update_since(assignment_version known) const;
    void take(const keys_update& update);
    void adopt(const key_assignment& assignment);
    key_requests& requests_of(const service_name& service);

    assigner_role_parts parts_;
    rpc_client& rpc_;
    std::vector<key_requests> waiting_; // for the next report
    std::map<endpoint, reporter> reporters_;
    assignment_history history_; // of what this gateway has published
    bool is_reporting_ = false;
    bool is_report_due_ = false;
    time_point reported_{};   // the last one
    time_point report_due_{}; // the next one
    time_point heard_{};      // of the assigner
    assigner_role role_;
    timer_handle report_timer_;
    timer_handle read_timer_;
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace camphorrock
