#pragma once

// The state of the fleet as this assigner knows it, as JSON for operators, and moves of
// single keys that operators request.

#include "assigner/shard_manager.hpp"
#include "core/config/configuration.hpp"
#include "store/instance_list.hpp"

#include <json/value.h>

#include <map>
#include <memory>
#include <string>

namespace camphorrock
{

// The latest report of a router, without the status of single shards in it.
struct router_report
{
    endpoint peer;
    data_centre zone;
    config_version config; // in force at the router
    time_point received_at;
    bool is_leaving = false;
};

struct fleet_view
{
    instance_id self;
    const configuration& config;
    const std::map<shard_id, std::unique_ptr<shard_manager>>& shards;
    const std::map<instance_id, router_report>& routers;
    time_point now;
};

// Returns the configuration version, the holder and epoch of each shard, and each
// router's configuration version and milliseconds since its last report. `lagging` lists
// the routers whose version is below the current one. O(partitions + servers + routers).
Json::Value make_status(const fleet_view& fleet);

// Returns the owner, epoch, scheduler and recent changes of a key's partition. Fails with
// not_found for an unknown service or a shard without partitions, and with refused if
// this assigner does not hold the shard or has not read its record.
result<Json::Value> make_explanation(const fleet_view& fleet,
                                     const service_name& service,
                                     const std::string& key);

// Plans the move of one key to a server: splits off a partition of just that key and
// moves it. Fails like make_explanation, and with invalid_argument if the record does not
// name the server.
result<void> move_key(const fleet_view& fleet,
                      const service_name& service,
                      const std::string& key,
                      const server_id& to);

} // namespace camphorrock
