#pragma once

// What operators are shown: the state of the fleet as this assigner sees it, in JSON.

#include "assigner/shard_desk.hpp"
#include "core/config/configuration.hpp"
#include "store/instance_list.hpp"

#include <json/value.h>

#include <map>
#include <memory>
#include <string>

namespace camphorrock
{

// What a router reported last, whatever the shard.
struct router_contact
{
    endpoint peer;
    data_centre zone;
    config_version config;
    time_point at;
    bool is_leaving = false;
};

struct fleet_view
{
    instance_id self;
    const configuration& config;
    const std::map<shard_id, std::unique_ptr<shard_desk>>& shards;
    const std::map<instance_id, router_contact>& routers;
    time_point now;
};

// Configuration version, shards with holder and epoch, and each router with its version
// and how long ago it was heard; `lagging` lists those below the current version.
Json::Value make_status(const fleet_view& fleet);

// Owner, epoch, scheduler and recent changes of a key's partition. Fails with not_found
// for an unknown service, and with refused where another assigner holds the shard.
result<Json::Value> make_explanation(const fleet_view& fleet,
                                     const service_name& service,
                                     const std::string& key);

// Gives one key to a server, on a partition of its own. Fails like make_explanation, and
// with invalid_argument for a server that the record does not name.
result<void> move_key(const fleet_view& fleet,
                      const service_name& service,
                      const std::string& key,
                      const server_id& to);

} // namespace camphorrock
