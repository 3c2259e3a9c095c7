#pragma once

// The objects that the components of one assigner share. Owned by `assigner`, which
// outlives the components.

#include "app/event_log.hpp"
#include "app/metrics_registry.hpp"
#include "assigner/assigner_settings.hpp"
#include "core/assignment/assignment_options.hpp"
#include "core/ownership/ownership_options.hpp"
#include "net/event_loop.hpp"
#include "net/rpc_client.hpp"
#include "store/store_client.hpp"

#include <random>

namespace camphorrock
{

struct assigner_context
{
    const assigner_settings& settings;
    event_loop& loop;
    rpc_client& rpc;
    store_client& store;
    event_log& log;
    metrics_registry& metrics;
    std::mt19937_64& random;
    assignment_options assignment;
    ownership_options ownership;
};

} // namespace camphorrock
