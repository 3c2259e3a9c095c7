#pragma once

// Keeps this gateway's view of who owns which keys: reports the requests for keys to the
// assigner, and takes its assignments, from its messages or, where it is not reached,
// from the record in the store. While this gateway is the assigner, it sends the
// assignments to the other gateways.

#include "codec/key_messages.hpp"
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
        time_point seen{};
        bool is_busy = false; // an update is under way
        assignment_version sent;
    };

    void report();
    void on_reply(const endpoint& to, const rpc_result& got);
    result<Json::Value> take_report(const Json::Value& params);
    result<Json::Value> take_update(const Json::Value& params);
    void publish(const key_assignment& assignment);
    void send_update(const endpoint& to);
    void read_record();
    void fetch_record();
    void adopt(const key_assignment& assignment);
    key_requests& requests_of(const service_name& service);

    assigner_role_parts parts_;
    rpc_client& rpc_;
    std::vector<key_requests> waiting_; // for the next report
    std::map<endpoint, reporter> reporters_;
    bool is_reporting_ = false;
    bool is_report_due_ = false;
    time_point heard_{}; // of the assigner
    assigner_role role_;
    timer_handle report_timer_;
    timer_handle read_timer_;
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace camphorrock
