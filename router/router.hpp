#pragma once

// A router process: owns the event loop, the ports, the store client and all components,
// and drains on SIGTERM.
//
//     result<std::unique_ptr<router>> made = router::create(settings, log);
//     return (*made)->run();

#include "app/admin_server.hpp"
#include "app/event_log.hpp"
#include "app/metrics_registry.hpp"
#include "core/membership/voter.hpp"
#include "net/http_server.hpp"
#include "router/peer_request_handler.hpp"
#include "router/request_handler.hpp"
#include "router/router_context.hpp"
#include "router/shard_agent.hpp"
#include "store/assigner_directory.hpp"
#include "store/config_agent.hpp"
#include "store/instance_list.hpp"

#include <map>
#include <memory>
#include <random>

namespace camphorrock
{

class router
{
public:
    // Listens on all ports. Fails with error_code::io if one cannot be bound.
    static result<std::unique_ptr<router>> create(const router_settings& settings,
                                                  event_log& log);

    router(const router&) = delete;
    router& operator=(const router&) = delete;
    ~router();

    // Runs until SIGTERM or SIGINT has been received and the requests are drained.
    // Returns the exit status.
    int run();

private:
    router(const router_settings& settings, event_log& log);
    result<void> open();
    result<void> open_clients();
    result<void> open_ports();
    void config_changed(const configuration& config);
    shard_agent* find_shard(const shard_id& shard);
    bool is_ready() const;
    void export_metrics();
    void register_self(instance_state state);
    void stop();
    bool is_idle() const;
    void finish_stop();

    router_settings settings_;
    event_log& log_;
    metrics_registry metrics_;
    std::mt19937_64 random_;
    std::unique_ptr<event_loop> loop_;
    std::unique_ptr<http_client> http_;
    std::unique_ptr<http_client> control_http_;
    std::unique_ptr<rpc_client> rpc_;
    std::unique_ptr<store_client> store_;
    std::unique_ptr<instance_list> instances_;
    std::unique_ptr<assigner_directory> assigners_;
    route_table routes_;
    retry_budgets retries_{retry_budget_options()};
    write_budget journal_writes_;
    std::unique_ptr<router_context> context_;
    time_point started_at_;
    std::unique_ptr<voter> voter_;
    std::unique_ptr<journal_lease> journal_lease_;
    std::unique_ptr<config_agent> config_;
    std::map<shard_id, std::unique_ptr<shard_agent>> shards_;
    std::unique_ptr<request_handler> request_handler_;
    std::unique_ptr<peer_request_handler> peer_request_handler_;
    std::unique_ptr<http_server> caller_server_;
    std::unique_ptr<http_server> peer_server_;
    std::unique_ptr<admin_server> admin_server_;
    std::vector<watch_handle> signals_;
    timer_handle registration_timer_;
    timer_handle stop_timer_;
    time_point stop_deadline_;
    time_point last_busy_at_; // last time at which requests were held, while stopping
    bool is_stopping_ = false;
    bool is_deregistering_ = false;
    bool is_deregistered_ = false;
};

} // namespace camphorrock
