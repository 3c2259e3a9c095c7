#pragma once

// One shard in this assigner: competes for the shard's lease and, while it holds it,
// carries out what shard_controller decides.

#include "assigner/shard_balance.hpp"
#include "assigner/shard_election.hpp"
#include "codec/messages.hpp"
#include "core/assignment/shard_controller.hpp"
#include "core/config/configuration.hpp"
#include "core/config/recent_maximum.hpp"
#include "store/config_agent.hpp"

#include <json/value.h>

namespace camphorrock
{

class shard_desk
{
public:
    shard_desk(assigner_parts& parts,
               lease_keeper& lease,
               const config_agent& config,
               const service_config& service);

    // Also takes part in the elections again after remove().
    void configure(const service_config& service);

    // The service has left the configuration: gives the shard up and does nothing more.
    // The record stays in the store, so that its versions go on where the service is
    // added again.
    void remove();
    void routers_listed(const std::vector<router_instance>& routers);
    void reported(const report_params& report, const shard_status& status);

    // Changes that an operator or the balancing policy asks for.
    void planned(const rebalance_plan& plan);

    shard_election& election()
    {
        return election_;
    }

    const shard_election& election() const
    {
        return election_;
    }

    const shard_balance& balance() const
    {
        return balance_;
    }

    const shard_controller& controller() const
    {
        return controller_;
    }

private:
    void tick();
    duration longest_request() const;
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

    assigner_parts& parts_;
    const config_agent& config_;
    shard_id shard_;
    shard_election election_;
    shard_controller controller_;
    shard_balance balance_;
    service_config service_;
    recent_maximum request_time_{{}}; // of requests that may still run
    duration view_request_time_{};    // as the controller has it
    epoch known_version_;             // of the record in the store, as last seen
    store_revision known_revision_;   // its revision
    epoch logged_version_;
    timer_handle tick_timer_;
};

} // namespace camphorrock
