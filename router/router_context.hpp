#pragma once

// Dependencies shared by the components of one router. Owned by `router`, which outlives
// them.

#include "app/event_log.hpp"
#include "app/metrics_registry.hpp"
#include "core/admission/retry_budgets.hpp"
#include "core/once/write_budget.hpp"
#include "core/ownership/ownership_options.hpp"
#include "core/routing/route_table.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/rpc_client.hpp"
#include "router/router_settings.hpp"
#include "store/assigner_directory.hpp"
#include "store/store_client.hpp"

#include <random>

namespace camphorrock
{

struct router_context
{
    const router_settings& settings;
    event_loop& loop;
    http_client& http;         // to servers and to other routers
    http_client& control_http; // used by `rpc`
    rpc_client& rpc;           // control messages
    store_client& store;
    event_log& log;
    metrics_registry& metrics;
    route_table& routes;
    std::mt19937_64& random;
    const assigner_directory& assigners;
    retry_budgets& retries;       // for second attempts, by service and caller
    write_budget& journal_writes; // shared by the gates of all shards
    ownership_options ownership;
};

} // namespace camphorrock
