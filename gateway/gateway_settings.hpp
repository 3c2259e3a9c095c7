#pragma once

// What a gateway is told when it starts.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <vector>

namespace camphorrock
{

struct gateway_settings
{
    instance_id id;
    data_centre zone;
    endpoint listen;  // for clients
    endpoint ready;   // for the balancer's question whether it takes clients
    endpoint peer;    // for other gateways
    endpoint metrics; // Prometheus text
    endpoint store;   // the key-value service
    unsigned processor_percent = 100; // of one core, that the process may use
    std::vector<endpoint> seeds; // ready addresses of other gateways, some may be gone

    duration stop_limit = seconds(5); // from SIGTERM to the exit, at most
    double retry_share = 0.2;         // repeated sendings to a service, of its requests
    unsigned retry_extra = 0;         // and so many beside, of all gateways together
    duration retry_window = seconds(10); // over which these are counted
    // How long a server that leaves takes requests, from when the store has its notice.
    duration server_drain = seconds(2);
    duration longest_hold = seconds(10); // of keys that are granted to a server
    std::uint64_t seed = 0;              // of random choices; 0: from the system
};

} // namespace camphorrock
