#pragma once

// The lanes of one shard: one for each server that this router schedules, and the bounds
// on the connections to them.
//
//     lanes.configure(service);
//     lanes.record_changed();                        // after the authority took a record
//     if (server_lane* lane = lanes.find(server)) ...
//
// A lane whose server has got another scheduler stays until it is idle.

#include "codec/messages.hpp"
#include "core/config/service_config.hpp"
#include "router/server_connections.hpp"
#include "router/server_lane.hpp"

#include <map>
#include <memory>
#include <set>

namespace camphorrock
{

class server_lanes
{
public:
    // `parts`, `authority` and `load` must outlive the lanes.
    server_lanes(router_parts& parts,
                 scheduler_authority& authority,
                 partition_load& load,
                 shard_id shard);

    // Slots and connections of the service reach the lanes that stand, too.
    void configure(const service_config& service);

    // Makes the lanes that the authority's record asks for and drops those that are idle
    // and of other routers.
    void record_changed();

    // Drops all lanes; what they hold ends as not run or unknown.
    void clear();

    // Null where this router has no lane to the server.
    server_lane* find(const server_id& server);

    // The connections to the server at `address` went silent; see server_lane::resend.
    void resend(const endpoint& address, time_point sent_before);

    // True while no request waits or is in flight.
    bool is_idle() const;

    // What is reported of a server; its figures count from the last call.
    server_status take_status(const server_observation& observed);

    // Sets the gauges of each lane.
    void export_metrics() const;

private:
    void add(const server_entry& server);
    void drop_idle(const shard_record& record);
    void limit_connections();
    const server_entry* entry_of(const server_id& server) const;

    router_parts& parts_;
    scheduler_authority& authority_;
    partition_load& load_;
    shard_id shard_;
    service_config service_;
    std::map<server_id, std::unique_ptr<server_lane>> lanes_;
    epoch version_; // of the record that the lanes follow
    server_connections connections_;
};

} // namespace camphorrock
