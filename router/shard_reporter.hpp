#pragma once

// Sends this router's reports of one shard to the shard's assigner: to the one that sent
// the last record, or to every listed one while that is not known.

#include "codec/messages.hpp"
#include "router/router_parts.hpp"
#include "store/config_agent.hpp"

#include <json/value.h>

namespace camphorrock
{

class shard_reporter
{
public:
    shard_reporter(router_parts& parts, config_agent& config, shard_id shard)
        : parts_(parts), config_(config), shard_(std::move(shard))
    {
    }

    void assigner_seen(const endpoint& peer)
    {
        assigner_peer_ = peer;
    }

    // Is it time to add the loads to a report? True once each load period.
    bool take_load_turn();

    void send(const shard_report& report,
              std::vector<server_status> servers,
              std::vector<partition_traffic> load);

private:
    void send_to(const endpoint& peer, const Json::Value& params);
    void ended(const endpoint& peer, const rpc_result& got);

    router_parts& parts_;
    config_agent& config_;
    shard_id shard_;
    endpoint assigner_peer_;
    time_point load_due_;
};

} // namespace camphorrock
