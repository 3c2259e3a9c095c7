#pragma once

// The fake platform as an HTTP handler: the key-value service in the JSON form of etcd's
// v3 protocol, the instance list, and fault injection. See docs/PLATFORM.md.

#include "core/base/result.hpp"
#include "fakes/platform/call_stats.hpp"
#include "fakes/platform/kv_engine.hpp"
#include "fakes/platform/lagging_list.hpp"
#include "fakes/platform/platform_faults.hpp"
#include "fakes/platform/rate_limit.hpp"
#include "fakes/platform/watch_set.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"

#include <json/value.h>

#include <cstdint>
#include <memory>
#include <random>
#include <unordered_map>

namespace camphorrock::fakes
{

struct platform_options
{
    duration list_lag = milliseconds(2000);
    double writes_per_second = 0; // 0: no limit
    double reads_per_second = 0;  // 0: no limit
    std::uint64_t seed = 1;       // of the draws that decide which calls are lost
    kv_engine_options kv;
};

class platform_service : public http_handler
{
public:
    // `loop` must outlive the service.
    platform_service(event_loop& loop, platform_options options);

    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    // Sets the faults as change_faults() does, and fails as it does. The start of an
    // outage closes the connections of all watches; its end restarts the time to live of
    // all leases.
    result<void> set_faults(const Json::Value& body);

    Json::Value faults() const;

    // Returns the members of call_stats::to_json(), the numbers of open "watches" and
    // "leases", and the store's "revision".
    Json::Value stats();

private:
    // One call between its arrival and its answer.
    struct call
    {
        call_kind kind;
        http_request request;
        std::shared_ptr<http_responder> responder;
    };

    // Expires leases and sends changes to watches, except in an outage.
    void on_tick();
    bool admit(const call& it);
    void run_after(duration time, event_loop::callback task);
    void execute_delayed(const std::shared_ptr<call>& it);
    void execute_now(const std::shared_ptr<call>& it);
    void reply(call& it, http_response response);
    http_response execute(const call& it);
    http_response execute_store_call(call_kind kind, const Json::Value& body);
    http_response run_range(const Json::Value& body) const;
    http_response run_transaction(const Json::Value& body);
    http_response grant_lease(const Json::Value& body);
    http_response keep_alive(const Json::Value& body);
    http_response revoke_lease(const Json::Value& body);
    http_response write_list(const http_request& request);
    http_response read_list();
    void start_watch(call& it);

    event_loop& loop_;
    kv_engine kv_;
    watch_set watches_;
    lagging_list list_;
    rate_limit write_limit_;
    rate_limit read_limit_;
    call_stats stats_;
    platform_faults faults_;
    std::mt19937_64 random_;
    std::unordered_map<std::uint64_t, timer_handle> delay_timers_;
    std::uint64_t last_delay_id_ = 0;
    timer_handle tick_timer_;
};

} // namespace camphorrock::fakes
