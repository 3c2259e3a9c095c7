#pragma once

// One router: wires the loop, the ports, the store and the parts together, and drains on
// SIGTERM.
//
//     result<std::unique_ptr<router>> made = router::create(settings, log);
//     return (*made)->run();

#include "app/admin_server.hpp"
#include "app/event_log.hpp"
#include "app/metrics_registry.hpp"
#include "core/membership/voter.hpp"
#include "net/http_server.hpp"
#include "router/entry.hpp"
#include "router/peer_port.hpp"
#include "router/router_parts.hpp"
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
    // Listens on all ports at once. Fails with error_code::io if one cannot be bound.
    static result<std::unique_ptr<router>> create(const router_settings& settings,
                                                  event_log& log);

    router(const router&) = delete;
    router& operator=(const router&) = delete;
    ~router();

    // Runs until SIGTERM or SIGINT and the drain that follows; returns the exit status.
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
    void enter_list(instance_state state);
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
    std::unique_ptr<router_parts> parts_;
    time_point started_;
    std::unique_ptr<voter> votes_;
    std::unique_ptr<journal_lease> journal_lease_;
    std::unique_ptr<config_agent> config_;
    std::map<shard_id, std::unique_ptr<shard_agent>> shards_;
    std::unique_ptr<entry> entry_;
    std::unique_ptr<peer_port> peer_port_;
    std::unique_ptr<http_server> caller_server_;
    std::unique_ptr<http_server> peer_server_;
    std::unique_ptr<admin_server> admin_server_;
    std::vector<watch_handle> signals_;
    timer_handle list_timer_;
    timer_handle stop_timer_;
    time_point stop_by_;
    time_point last_busy_; // while stopping
    bool is_stopping_ = false;
    bool is_leaving_list_ = false;
    bool has_left_list_ = false;
};

} // namespace camphorrock
