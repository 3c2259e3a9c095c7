#pragma once

// The log and the metrics of a gateway, in terms of what it decides.

#include "app/event_log.hpp"
#include "app/metrics_registry.hpp"
#include "core/config/config_version.hpp"
#include "core/gateway/key_orders.hpp"
#include "core/gateway/server_pool.hpp"
#include "gateway/own_answer.hpp"

#include <optional>
#include <string>

namespace camphorrock
{

// What is said of a request in each of its lines.
struct request_line
{
    const std::string& id;
    const std::string& route;
    const service_name& service;
};

// What an answer of the gateway's own was decided by.
struct own_answer_inputs
{
    unsigned sendings = 0;   // to servers, before it
    server_id last_server;   // of these
    duration elapsed{};      // since the request came
    duration left{};         // of its time
    duration expected{};     // until a server's answer, where that was too long
    config_version config;   // in force
    assignment_version keys; // of the owners of keys
    std::optional<shard_key> key;
};

class gateway_log
{
public:
    // Both must outlive the log.
    gateway_log(event_log& events, metrics_registry& metrics)
        : events_(events), metrics_(metrics)
    {
    }

    event_log& events()
    {
        return events_;
    }

    void sent(const request_line& what, const server_choice& to, unsigned attempt);
    void attempt_failed(const request_line& what,
                        const server_choice& to,
                        attempt_end how,
                        duration elapsed,
                        bool is_sent_again);
    void answered(const request_line& what, int status, duration elapsed);
    void
    answered_self(const request_line& what, own_reason why, const own_answer_inputs& by);
    void order_ended(const key_order& order, const order_result& got);
    void client_gone(const request_line& what, duration elapsed);

private:
    event_log& events_;
    metrics_registry& metrics_;
};

} // namespace camphorrock
