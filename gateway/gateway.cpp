#include "gateway/gateway.hpp"

#include "net/http_status.hpp"
#include "net/pipelined_server.hpp"

#include <csignal>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration stop_check_period = milliseconds(50);
// How long clients' next requests are still taken, so that the balancer in front can send
// new clients elsewhere. What is taken by then can be answered before the exit.
constexpr duration taking_time = milliseconds(2600);
constexpr duration server_silence = milliseconds(1500);
constexpr duration store_silence = milliseconds(3000);
constexpr long connections_per_server = 24;
constexpr seconds client_idle_timeout = seconds(60);
constexpr std::size_t max_client_body_bytes = std::size_t{64} << 20;
constexpr std::size_t max_peer_body_bytes = std::size_t{4} << 20;

http_response make_status(int status)
{
    http_response made;
    made.status = status;
    return made;
}

} // namespace

class gateway::ready_port : public http_handler
{
public:
    explicit ready_port(const gateway& owner) : owner_(owner) {}

    void handle(http_request request, std::shared_ptr<http_responder> responder) override
    {
        const bool is_known = request.target == owner_.codec_.ready_target();
        const int status = !is_known           ? http_status::not_found
                           : owner_.is_ready() ? http_status::ok
                                               : http_status::unavailable;
        responder->respond(make_status(status));
    }

private:
    const gateway& owner_;
};

class gateway::peer_port : public http_handler
{
public:
    explicit peer_port(rpc_server& methods) : methods_(methods) {}

    void handle(http_request request, std::shared_ptr<http_responder> responder) override
    {
        if (request.method != "POST" || request.target != "/rpc")
        {
            responder->respond(make_status(http_status::not_found));
            return;
        }
        http_response answer;
        answer.headers.add("Content-Type", "application/json");
        answer.body = methods_.dispatch(request.body);
        responder->respond(std::move(answer));
    }

private:
    rpc_server& methods_;
};

result<std::unique_ptr<gateway>> gateway::create(const gateway_settings& settings,
                                                 const gateway_codec& codec,
                                                 event_log& events,
                                                 const store_factory& make_store)
{
    std::unique_ptr<gateway> made(new gateway(settings, codec, events));
    BOOST_LEAF_CHECK(made->open(make_store));
    return made;
}

gateway::gateway(const gateway_settings& settings,
                 const gateway_codec& codec,
                 event_log& events)
    : settings_(settings), codec_(codec), log_(events, metrics_)
{
}

gateway::~gateway()
{
    // First what brings requests, then what carries them.
    client_server_.reset();
    peer_server_.reset();
    ready_server_.reset();
    front_.reset();
    loads_.reset();
    keys_.reset();
    directory_.reset();
    store_.reset();
    server_http_.reset();
    control_http_.reset();
}

result<void> gateway::open(const store_factory& make_store)
{
    BOOST_LEAF_ASSIGN(loop_, event_loop::create());
    http_client_options to_servers;
    to_servers.max_connections_per_endpoint = connections_per_server;
    to_servers.silent_limit = server_silence;
    to_servers.resets_on_close = true;
    to_servers.shares_pool = true;
    BOOST_LEAF_ASSIGN(server_http_, http_client::create(*loop_, to_servers));
    http_client_options control = to_servers;
    control.silent_limit = store_silence;
    BOOST_LEAF_ASSIGN(control_http_, http_client::create(*loop_, control));
    BOOST_LEAF_ASSIGN(store_, make_store(*loop_, *control_http_, settings_.store));

    store_->on_reach_changed(
        [this](bool is_reached)
        {
            log_.events().write(is_reached ? event_id::store_regained
                                           : event_id::store_lost,
                                {{"store", settings_.store}});
        });
    const std::uint64_t seed =
        settings_.seed != 0 ? settings_.seed : std::random_device()();
    state_ = std::make_unique<gateway_state>(settings_, seed);
    state_->on_change([this] { store_->set_clients(state_->gateways().size()); });
    orders_ = std::make_unique<order_sender>(*control_http_, codec_);
    rpc_ = std::make_unique<rpc_client>(*control_http_);
    directory_ =
        std::make_unique<directory_agent>(*loop_, *store_, *state_, codec_, log_);
    keys_ = std::make_unique<key_agent>(
        assigner_role_parts{*loop_, *store_, *state_, *orders_, log_},
        *rpc_,
        rpc_methods_);
    BOOST_LEAF_ASSIGN(loads_, load_agent::create(*loop_, *state_));
    relay_parts_ = std::make_unique<relay_parts>(
        relay_parts{*loop_,
                    *server_http_,
                    *state_,
                    codec_,
                    log_,
                    [this](const service_name& service, shard_key key)
                    { keys_->requested(service, key); },
                    [this](const service_name& service, shard_key key)
                    {
                        keys_->refused(service, key);
                    }});
    front_ = std::make_unique<front>(*relay_parts_);
    BOOST_LEAF_CHECK(open_ports());
    signals_.push_back(loop_->on_signal(SIGTERM, [this] { stop(); }));
    signals_.push_back(loop_->on_signal(SIGINT, [this] { stop(); }));
    return {};
}

result<void> gateway::open_ports()
{
    ready_ = std::make_unique<ready_port>(*this);
    peer_ = std::make_unique<peer_port>(rpc_methods_);
    pipelined_server_options clients;
    clients.common.address = settings_.listen;
    clients.common.max_body_bytes = max_client_body_bytes;
    clients.common.idle_timeout = client_idle_timeout;
    BOOST_LEAF_ASSIGN(client_server_, create_pipelined_server(*loop_, clients, *front_));
    pipelined_server_options asked;
    asked.common.address = settings_.ready;
    BOOST_LEAF_ASSIGN(ready_server_, create_pipelined_server(*loop_, asked, *ready_));
    pipelined_server_options peers;
    peers.common.address = settings_.peer;
    peers.common.max_body_bytes = max_peer_body_bytes;
    BOOST_LEAF_ASSIGN(peer_server_, create_pipelined_server(*loop_, peers, *peer_));
    open_metrics();
    return {};
}

// A gateway serves without its metrics where their address is taken.
void gateway::open_metrics()
{
    if (settings_.metrics.empty())
    {
        return;
    }
    value_or_handle(
        [&]() -> result<void>
        {
            BOOST_LEAF_ASSIGN(
                admin_,
                admin_server::create(
                    *loop_, settings_.metrics, metrics_, [this] { return is_ready(); }));
            return {};
        },
        [&](const error& ec)
        {
            log_.events().write(event_id::listen_failed,
                                {{"address", settings_.metrics}, {"text", ec.text}});
        });
}

int gateway::run()
{
    log_.events().write(event_id::program_ready,
                        {{"id", settings_.id},
                         {"zone", settings_.zone},
                         {"listen", settings_.listen},
                         {"store", settings_.store}});
    loop_->run();
    log_.events().write(event_id::program_stopped, {{"in_flight", front_->in_flight()}});
    return exit_ok;
}

void gateway::on_reload(std::function<void()> what)
{
    signals_.push_back(loop_->on_signal(SIGHUP, std::move(what)));
}

bool gateway::is_ready() const
{
    return !is_stopping_ && directory_->is_complete() && keys_->is_complete();
}

void gateway::stop()
{
    if (is_stopping_)
    {
        return;
    }
    is_stopping_ = true;
    stop_by_ = loop_->now() + settings_.stop_limit;
    log_.events().write(event_id::program_stopping,
                        {{"in_flight", front_->in_flight()},
                         {"connections", client_server_->connections()}});
    keys_->leave();
    client_server_->close_after_answers();
    stop_check_ = loop_->every(stop_check_period, [this] { check_stopped(); });
}

void gateway::check_stopped()
{
    const duration left = stop_by_ - loop_->now();
    if (left > settings_.stop_limit - taking_time)
    {
        return;
    }
    client_server_->stop_accepting();
    client_server_->close_idle();
    const bool is_idle = client_server_->connections() == 0;
    const bool is_over = left <= duration::zero();
    if (is_idle || is_over)
    {
        loop_->stop();
    }
}

} // namespace camphorrock
