#pragma once

// The settings that a gateway reads when it starts.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorrock
{

struct gateway_settings
{
    instance_id id;
    data_centre zone;
    endpoint listen;  // for clients
    endpoint ready;   // for the load balancer's readiness probes
    endpoint peer;    // for other gateways: HTTP calls and UDP load reports
    endpoint metrics; // for Prometheus; empty: no metrics are served
    endpoint store;   // the key-value service
    unsigned processor_percent = 100; // CPU limit of the process, in percent of one core
    std::size_t memory_bytes = std::size_t{256} << 20;        // limit of the process
    std::size_t max_store_value_bytes = std::size_t{1} << 20; // of a key in the store
    std::vector<endpoint> seeds; // `ready` of other gateways; some may be down

    duration stop_limit = seconds(5);    // longest time from SIGTERM to the exit
    double retry_ratio = 0.2;            // retries to a service, per request to it
    unsigned retry_slack = 0;            // further retries, for the whole fleet together
    duration retry_window = seconds(10); // the sliding window in which both are counted
    // How long a leaving server accepts requests after the store has been notified.
    duration server_drain_time = seconds(2);
    duration max_hold = seconds(10); // longest grant of keys to a server
    // From the write that drains a data centre to the last request that reaches it.
    duration evacuation_bound = seconds(5);
    // In any second, a cold server gets at most its requests a second multiplied by
    // `warm_up_overage`, plus `warm_up_slack`.
    double warm_up_overage = 1.5;
    double warm_up_slack = 8;
    std::uint64_t seed = 0; // of the random generator; 0: drawn from the system
};

} // namespace camphorrock
