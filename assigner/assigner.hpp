#pragma once

// One assigner process. It competes for the shards of all services, updates the records
// of the shards that it holds, and applies operators' patches to the configuration.
//
//     result<std::unique_ptr<assigner>> made = assigner::create(settings, log);
//     return (*made)->run();

#include "app/admin_server.hpp"
#include "app/event_log.hpp"
#include "app/metrics_registry.hpp"
#include "assigner/assigner_api.hpp"
#include "assigner/assigner_context.hpp"
#include "assigner/lease_keeper.hpp"
#include "assigner/operator_view.hpp"
#include "assigner/shard_manager.hpp"
#include "net/http_server.hpp"
#include "store/config_agent.hpp"
#include "store/instance_list.hpp"

#include <map>
#include <memory>
#include <random>

namespace camphorrock
{

class assigner
{
public:
    // Binds all ports and listens on them. Fails with error_code::io if a port cannot be
    // bound.
    static result<std::unique_ptr<assigner>> create(const assigner_settings& settings,
                                                    event_log& log);

    assigner(const assigner&) = delete;
    assigner& operator=(const assigner&) = delete;
    ~assigner();

    // Runs until SIGTERM or SIGINT; returns the exit status.
    int run();

private:
    assigner(const assigner_settings& settings, event_log& log);
    result<void> open();
    result<void> open_clients();
    result<void> open_ports();
    void config_changed(const configuration& config);
    void remove_shards(const configuration& config);
    void read_instances();
    void register_self(instance_state state);
    void attempt_elections();
    void lease_keys_changed(const std::vector<store_entry>& changed);
    void lease_lost();
    result<Json::Value> receive_report(const Json::Value& params);
    fleet_view view() const;
    void stop();

    assigner_settings settings_;
    event_log& log_;
    metrics_registry metrics_;
    std::mt19937_64 random_;
    std::unique_ptr<event_loop> loop_;
    std::unique_ptr<http_client> http_;
    std::unique_ptr<rpc_client> rpc_;
    std::unique_ptr<store_client> store_;
    std::unique_ptr<instance_list> instances_;
    std::unique_ptr<assigner_context> context_;
    std::unique_ptr<lease_keeper> lease_;
    std::unique_ptr<config_agent> config_;
    std::map<shard_id, std::unique_ptr<shard_manager>> shards_;
    // Shards of services that have left the configuration. They are kept because replies
    // to their pending calls may still arrive, and are used again if the service is added
    // again.
    std::map<shard_id, std::unique_ptr<shard_manager>> removed_shards_;
    std::vector<router_instance> listed_routers_;         // by the platform
    std::map<instance_id, router_report> router_reports_; // the last of each router
    std::unique_ptr<assigner_api> api_;
    std::unique_ptr<http_server> peer_server_;
    std::unique_ptr<admin_server> admin_server_;
    std::vector<watch_handle> loop_handles_; // of timers and signals
    watch_handle lease_watch_;
    bool is_stopping_ = false;
};

} // namespace camphorrock
