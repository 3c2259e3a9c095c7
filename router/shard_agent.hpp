#pragma once

// This router's role in one shard: carries out the actions of scheduler_authority, has a
// dispatcher for each server that the router schedules, and accepts requests for its
// partitions.
//
// Reads the record from the store at start and then periodically. In between, the
// assigner sends new records.

#include "codec/messages.hpp"
#include "core/balance/partition_load.hpp"
#include "core/config/configuration.hpp"
#include "core/config/recent_maximum.hpp"
#include "core/membership/voter.hpp"
#include "core/ownership/scheduler_authority.hpp"
#include "router/config_version_round.hpp"
#include "router/once_agent.hpp"
#include "router/ownership_client.hpp"
#include "router/router_context.hpp"
#include "router/server_dispatchers.hpp"
#include "router/shard_reporter.hpp"
#include "store/config_agent.hpp"

#include <memory>

namespace camphorrock
{

class shard_agent
{
public:
    shard_agent(router_context& context,
                config_agent& config,
                voter& votes,
                journal_lease& lease,
                const service_config& service);

    // Applies the configuration. After remove(), starts serving again.
    void configure(const service_config& service, const fleet_config& fleet);

    // The service was removed from the configuration: refuses new requests, completes
    // those that it holds, and then stops. The remembered ids are kept.
    void remove();

    const service_name& service() const
    {
        return service_.name;
    }

    // Ends the request, during the call or later. Refuses it if this router does not
    // schedule its partition.
    void submit(const live_request_ptr& request);

    // The assigner sent a record; `peer` is the assigner's peer port.
    void record_received(const shard_record& record, const endpoint& peer);

    // The program is stopping: asks the assigner to assign the servers that this router
    // schedules to other routers.
    void announce_leaving();

    // True if no request is held and this router schedules no server of the shard.
    bool is_idle() const;

    // Sets the gauges of this shard.
    void export_metrics() const;

    const scheduler_authority& authority() const
    {
        return authority_;
    }

private:
    void tick();
    void start();
    void stop();
    bool is_drained() const;
    void update_max_request_time();
    void log_authority_change();
    void query_voters();
    void read_record();
    void apply_record();
    void carry_out(const scheduler_actions& actions);
    void carry_out(const request_lease_vote& action);
    void carry_out(const send_clock& action);
    void carry_out(const send_grant& action);
    void carry_out(const send_revoke& action);
    void carry_out(const send_report& action);
    void carry_out(const fetch_record& action);
    void lease_vote_answered(const request_lease_vote& vote_request,
                             const lease_vote_answer& answer);
    void note_config_version(const request_lease_vote& vote_request,
                             const lease_vote_answer& answer);
    void on_ownership_call_ended(const server_id& server,
                                 const endpoint& address,
                                 server_exchange_id exchange,
                                 const ownership_call_result& call_result);
    void on_connections_unresponsive(const endpoint& address, time_point sent_until);
    std::vector<partition_traffic> make_traffic() const;
    void update_journal_write_rate();
    void set_measured_partitions(const shard_record& record);
    void submit_once(const live_request_ptr& request);
    void dispatch(const live_request_ptr& request, server_dispatcher::callback done);

    router_context& context_;
    config_agent& config_;
    voter& voter_;
    shard_id shard_;
    service_config service_;
    recent_maximum recent_max_request_; // of requests that may still run
    scheduler_authority authority_;
    once_agent once_;
    ownership_client ownership_client_;
    shard_reporter reporter_;
    partition_load load_; // slot seconds per second, by partition of its servers
    server_dispatchers dispatchers_;
    bool is_reading_record_ = false;
    config_version_round config_version_round_;
    bool had_authority_ = false;
    bool is_removed_ = false;
    std::uint64_t query_rounds_ = 0;
    timer_handle tick_timer_;
    timer_handle read_timer_;
};

} // namespace camphorrock
