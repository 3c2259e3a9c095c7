#pragma once

// Manages one shard in this assigner: competes for the shard's lease and, while it holds
// the lease, carries out the actions that shard_controller decides.

#include "assigner/shard_balancer.hpp"
#include "assigner/shard_election.hpp"
#include "codec/messages.hpp"
#include "core/assignment/shard_controller.hpp"
#include "core/config/configuration.hpp"
#include "core/config/recent_maximum.hpp"
#include "store/config_agent.hpp"

#include <json/value.h>

namespace camphorrock
{

class shard_manager
{
public:
    shard_manager(assigner_context& context,
                  lease_keeper& lease,
                  const config_agent& config,
                  const service_config& service);

    // Applies the configuration of the service. After deactivate(), also competes for the
    // lease again.
    void configure(const service_config& service);

    // Called when the service has left the configuration: releases the shard and stops
    // all periodic work. The record stays in the store, so that its versions continue to
    // increase if the service is added again.
    void deactivate();

    // The routers in the platform's latest list of instances.
    void routers_listed(const std::vector<router_instance>& routers);

    // A router's report, and the status of this shard in it.
    void reported(const report_params& report, const shard_status& status);

    // Adds a plan of an operator or of the balancer.
    void planned(const rebalance_plan& plan);

    shard_election& election()
    {
        return election_;
    }

    const shard_election& election() const
    {
        return election_;
    }

    const shard_balancer& balancer() const
    {
        return balancer_;
    }

    const shard_controller& controller() const
    {
        return controller_;
    }

private:
    void tick();
    duration max_request_time() const;
    void rebalance();
    void election_changed(bool is_held);
    void log_changes();
    void carry_out(const controller_actions& actions);
    void carry_out(const read_record& action);
    void carry_out(const write_record& action);
    void carry_out(const send_record& action);
    void carry_out(const send_fence& action);
    void carry_out(const resign& action);
    void read_ended(const store_read& got);
    void write_ended(epoch version, const store_write& got);

    assigner_context& context_;
    const config_agent& config_;
    shard_id shard_;
    shard_election election_;
    shard_controller controller_;
    shard_balancer balancer_;
    service_config service_;
    recent_maximum recent_max_request_{{}};  // of requests that may still run
    duration configured_max_request_time_{}; // as last passed to controller_
    epoch stored_version_;                   // of the record as last read or written
    store_revision stored_revision_;         // of that version in the store
    epoch logged_version_;                   // of the last change that was logged
    timer_handle tick_timer_;
};

} // namespace camphorrock
