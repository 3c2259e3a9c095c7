#pragma once

// A gateway: one process on an entry instance. Takes clients' requests, sends each to a
// server, and holds the assigner's role when it is elected.
//
// SIGTERM: not ready at once; requests are still taken for a while, each answer closing
// its connection; then idle connections are closed and no more are accepted. Exit when no
// connection is left, or after `stop_limit`.

#include "app/admin_server.hpp"
#include "app/command_line.hpp"
#include "gateway/directory_agent.hpp"
#include "gateway/front.hpp"
#include "gateway/gateway_codec.hpp"
#include "gateway/gateway_log.hpp"
#include "gateway/gateway_settings.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/key_agent.hpp"
#include "gateway/load_agent.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"

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

    // `settings`, `codec` and `events` must outlive the gateway. `make_store` makes the
    // client of the key-value service.
    static result<std::unique_ptr<gateway>> create(const gateway_settings& settings,
                                                   const gateway_codec& codec,
                                                   event_log& events,
                                                   const store_factory& make_store);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    // Runs until the process is told to stop; returns the exit status.
    int run();

    // Calls when the process receives SIGHUP.
    void on_reload(std::function<void()> what);

    bool is_ready() const;

private:
    // Answers the balancer's question, and gateways' calls.
    class ready_port;
    class peer_port;

    gateway(const gateway_settings& settings,
            const gateway_codec& codec,
            event_log& events);
    result<void> open(const store_factory& make_store);
    result<void> open_ports();
    void open_metrics();
    void stop();
    void check_stopped();

    const gateway_settings& settings_;
    const gateway_codec& codec_;
    metrics_registry metrics_;
    gateway_log log_;
    std::unique_ptr<event_loop> loop_;
    std::unique_ptr<http_client> server_http_;  // requests to servers
    std::unique_ptr<http_client> control_http_; // store, orders, other gateways
    std::unique_ptr<store_client> store_;
    std::unique_ptr<gateway_state> state_;
    std::unique_ptr<directory_agent> directory_;
    std::unique_ptr<order_sender> orders_;
    std::unique_ptr<rpc_client> rpc_;
    rpc_server rpc_methods_;
    std::unique_ptr<key_agent> keys_;
    std::unique_ptr<load_agent> loads_;
    std::unique_ptr<relay_parts> relay_parts_;
    std::unique_ptr<front> front_;
    std::unique_ptr<ready_port> ready_;
    std::unique_ptr<peer_port> peer_;
    std::unique_ptr<http_server> ready_server_;
    std::unique_ptr<http_server> peer_server_;
    std::unique_ptr<http_server> client_server_;
    std::unique_ptr<admin_server> admin_;
    std::vector<watch_handle> signals_;
    timer_handle stop_check_;
    time_point stop_by_{};
    bool is_stopping_ = false;
};

} // namespace camphorrock
