#pragma once

// The dispatchers of one shard, one for each server that this router schedules, and the
// limits on the connections to these servers.
//
//     dispatchers.configure(service);
//     dispatchers.record_changed(); // after the authority adopted a record
//     if (server_dispatcher* it = dispatchers.find(server)) ...
//
// A dispatcher whose server has another scheduler now is kept until it is idle.

#include "codec/messages.hpp"
#include "core/config/service_config.hpp"
#include "router/server_connections.hpp"
#include "router/server_dispatcher.hpp"

#include <map>
#include <memory>
#include <set>

namespace camphorrock
{

class server_dispatchers
{
public:
    // `context`, `authority` and `load` must outlive this object.
    server_dispatchers(router_context& context,
                       scheduler_authority& authority,
                       partition_load& load,
                       shard_id shard);

    // Applies the service's slots and connections, also to existing dispatchers.
    void configure(const service_config& service);

    // Creates dispatchers for the servers that the authority's record assigns to this
    // router. Removes those of other routers' servers that are idle.
    void record_changed();

    // Removes all dispatchers. Requests that they hold end as not run or unknown.
    void clear();

    // Returns null if there is no dispatcher for the server.
    server_dispatcher* find(const server_id& server);

    // The connections to the server at `address` are unresponsive; see
    // server_dispatcher::resend.
    void resend(const endpoint& address, time_point sent_until);

    // True if no request is queued or in flight.
    bool is_idle() const;

    // Returns the status to report for a server; its counters start at the last call.
    server_status take_status(const server_observation& observed);

    // Sets the gauges of each dispatcher.
    void export_metrics() const;

private:
    void add(const server_entry& server);
    void drop_idle(const shard_record& record);
    void limit_connections();
    const server_entry* entry_of(const server_id& server) const;

    router_context& context_;
    scheduler_authority& authority_;
    partition_load& load_;
    shard_id shard_;
    service_config service_;
    std::map<server_id, std::unique_ptr<server_dispatcher>> dispatchers_;
    epoch record_version_; // of the record that the dispatchers follow
    server_connections connections_;
};

} // namespace camphorrock
