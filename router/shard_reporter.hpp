#pragma once

// Sends this router's reports on one shard to the shard's assigner: the one that sent the
// last record, or every listed assigner while that one is not known.

#include "codec/messages.hpp"
#include "router/router_context.hpp"
#include "store/config_agent.hpp"

#include <json/value.h>

namespace camphorrock
{

class shard_reporter
{
public:
    shard_reporter(router_context& context, config_agent& config, shard_id shard)
        : context_(context), config_(config), shard_(std::move(shard))
    {
    }

    // `peer` is the peer port of the assigner that sent the last record.
    void set_assigner(const endpoint& peer)
    {
        assigner_peer_ = peer;
    }

    // Returns true if the next report is to contain the partitions' loads, which is at
    // most once in each load period.
    bool try_start_load_period();

    void send(const shard_report& report,
              std::vector<server_status> servers,
              std::vector<partition_traffic> load);

private:
    void send_to(const endpoint& peer, const Json::Value& params);
    void on_report_ended(const endpoint& peer, const rpc_result& got);

    router_context& context_;
    config_agent& config_;
    shard_id shard_;
    endpoint assigner_peer_; // empty while it is not known
    time_point load_due_at_;
};

} // namespace camphorrock
