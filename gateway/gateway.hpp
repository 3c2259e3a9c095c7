#pragma once

// A gateway: one process on an entry instance. It accepts clients' requests, relays each
// to a server, and acts as the assigner of keys while it is elected.
//
// On SIGTERM the gateway reports itself not ready at once, and exits when its clients are
// served, after `stop_limit` at the latest (gateway_stop.hpp).

#include "app/admin_server.hpp"
#include "app/command_line.hpp"
#include "gateway/client_handler.hpp"
#include "gateway/directory_agent.hpp"
#include "gateway/forward_handler.hpp"
#include "gateway/gateway_codec.hpp"
#include "gateway/gateway_log.hpp"
#include "gateway/gateway_settings.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/gateway_stop.hpp"
#include "gateway/key_agent.hpp"
#include "gateway/link_agent.hpp"
#include "gateway/load_agent.hpp"
#include "gateway/store_check.hpp"
#include "gateway/verdict_store.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "net/loop_monitor.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace camphorrock
{

class gateway
{
public:
    using store_factory = std::function<result<std::unique_ptr<store_client>>(
        event_loop&, http_client&, const endpoint&)>;

    // `settings`, `codec` and `events` must outlive the gateway. `make_store` creates the
    // client of the key-value service. Fails if an address cannot be bound, except that
    // of the metrics, which is only logged.
    static result<std::unique_ptr<gateway>> create(const gateway_settings& settings,
                                                   const gateway_codec& codec,
                                                   event_log& events,
                                                   const store_factory& make_store);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    // Runs until the gateway has stopped after SIGTERM or SIGINT; returns the exit
    // status.
    int run();

    // Calls `callback` whenever the process receives SIGHUP.
    void on_reload(std::function<void()> callback);

    // True while the gateway has a configuration, the servers and an assignment of every
    // keyed service, and is not stopping.
    bool is_ready() const;

private:
    class ready_handler; // answers the load balancer's readiness probes
    class peer_handler;  // answers calls from other gateways

    gateway(const gateway_settings& settings,
            const gateway_codec& codec,
            event_log& events);
    result<void> open(const store_factory& make_store);
    void schedule_watch_sources();
    void set_watch_sources();
    result<void> open_ports();
    void open_metrics();
    void publish_memory();
    void keep_verdicts();
    result<Json::Value> lift_verdict(const Json::Value& params);
    void stop();
    bool is_stopping() const
    {
        return stop_ != nullptr;
    }

    const gateway_settings& settings_;
    const gateway_codec& codec_;
    metrics_registry metrics_;
    gateway_log log_;
    std::unique_ptr<event_loop> loop_;
    std::shared_ptr<memory_budget> memory_;     // of all messages together
    std::unique_ptr<http_client> server_http_;  // requests, also by other gateways
    std::unique_ptr<http_client> order_http_;   // orders to servers
    std::unique_ptr<http_client> control_http_; // store, calls of other gateways
    std::unique_ptr<store_client> store_;
    std::unique_ptr<gateway_state> state_;
    std::unique_ptr<directory_agent> directory_agent_;
    std::unique_ptr<order_sender> order_sender_;
    std::unique_ptr<rpc_client> rpc_;
    rpc_server rpc_methods_;
    std::unique_ptr<store_check> store_check_;
    std::unique_ptr<key_agent> key_agent_;
    std::unique_ptr<load_agent> load_agent_;
    std::unique_ptr<link_agent> link_agent_;
    std::unique_ptr<verdict_store> verdict_store_;
    std::unique_ptr<relay_context> relay_context_;
    std::unique_ptr<client_handler> client_handler_;
    std::unique_ptr<forward_handler> forward_handler_;
    std::unique_ptr<ready_handler> ready_handler_;
    std::unique_ptr<peer_handler> peer_handler_;
    std::unique_ptr<http_server> ready_server_;
    std::unique_ptr<http_server> peer_server_;
    std::unique_ptr<http_server> client_server_;
    std::unique_ptr<admin_server> admin_;
    std::unique_ptr<loop_monitor> loop_monitor_;
    std::vector<watch_handle> signal_handles_;
    timer_handle watch_sources_timer_;   // empty: none is due
    std::unique_ptr<gateway_stop> stop_; // null until SIGTERM
};

} // namespace camphorrock
