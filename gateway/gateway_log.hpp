#pragma once

// The log and the metrics of a gateway, in terms of what it decides.

#include "app/event_log.hpp"
#include "app/metrics_registry.hpp"
#include "core/gateway/key_orders.hpp"
#include "core/gateway/server_pool.hpp"
#include "gateway/own_answer.hpp"

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
    void answered_self(const request_line& what,
                       own_reason why,
                       unsigned sendings,
                       duration elapsed);
    void order_ended(const key_order& order, const order_result& got);
    void client_gone(const request_line& what, duration elapsed);

private:
    event_log& events_;
    metrics_registry& metrics_;
};

} // namespace camphorrock
