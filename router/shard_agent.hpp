#pragma once

// This router's part in one shard: carries out what scheduler_authority asks for, keeps a
// lane for each server that the router schedules, and takes requests for its partitions.
//
// Reads the record from the store at start and again from time to time; between, the
// assigner sends it.

#include "codec/messages.hpp"
#include "core/balance/partition_load.hpp"
#include "core/config/configuration.hpp"
#include "core/config/recent_maximum.hpp"
#include "core/membership/voter.hpp"
#include "core/ownership/scheduler_authority.hpp"
#include "router/once_agent.hpp"
#include "router/ownership_caller.hpp"
#include "router/router_parts.hpp"
#include "router/server_lanes.hpp"
#include "router/shard_reporter.hpp"
#include "router/voter_round.hpp"
#include "store/config_agent.hpp"

#include <memory>

namespace camphorrock
{

class shard_agent
{
public:
    shard_agent(router_parts& parts,
                config_agent& config,
                voter& votes,
                journal_lease& lease,
                const service_config& service);

    // Also takes the service up again after remove().
    void configure(const service_config& service, const fleet_config& fleet);

    // The service has left the configuration: refuses new requests, ends those that it
    // has, and then does nothing more. The ids that it knows are kept.
    void remove();

    const service_name& service() const
    {
        return service_.name;
    }

    // A request for a partition that this router schedules; ends it, now or later.
    void submit(const live_request_ptr& request);

    // The assigner sent a record; `peer` is the assigner's.
    void record_received(const shard_record& record, const endpoint& peer);

    // The program is stopping: other routers are to schedule its servers.
    void leave();

    // Does this router schedule no server of the shard?
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
    void update_request_time();
    void note_authority();
    void ask_voters();
    void read_record();
    void took_record();
    void carry_out(const scheduler_actions& actions);
    void carry_out(const request_lease_vote& action);
    void carry_out(const send_clock& action);
    void carry_out(const send_grant& action);
    void carry_out(const send_revoke& action);
    void carry_out(const send_report& action);
    void carry_out(const fetch_record& action);
    void lease_vote_answered(const request_lease_vote& asked,
                             const lease_vote_answer& answer);
    void note_config(const request_lease_vote& asked, const lease_vote_answer& answer);
    void server_ended(const server_id& server,
                      const endpoint& address,
                      server_exchange_id exchange,
                      const ownership_end& end);
    void connections_silent(const endpoint& address, time_point sent_before);
    std::vector<partition_traffic> make_traffic() const;
    void share_journal_writes();
    void measure_partitions(const shard_record& record);
    void submit_once(const live_request_ptr& request);
    void run(const live_request_ptr& request, server_lane::callback done);

    router_parts& parts_;
    config_agent& config_;
    voter& votes_;
    shard_id shard_;
    service_config service_;
    recent_maximum request_time_; // of requests that may still run
    scheduler_authority authority_;
    once_agent once_;
    ownership_caller caller_;
    shard_reporter reporter_;
    partition_load load_; // slot seconds of the partitions of its servers
    server_lanes lanes_;
    bool is_reading_ = false;
    voter_round round_; // of configuration versions
    bool had_authority_ = false;
    bool is_removed_ = false;
    std::uint64_t own_rounds_ = 0;
    timer_handle tick_timer_;
    timer_handle read_timer_;
};

} // namespace camphorrock
