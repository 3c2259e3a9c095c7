#include "gateway/gateway.hpp"

#include "core/gateway/store/store_watchers.hpp"
#include "net/http_status.hpp"
#include "net/pipelined_server.hpp"
#include "net/socket_client.hpp"

#include <csignal>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration server_unresponsive_limit = milliseconds(1500);
constexpr duration store_unresponsive_limit = milliseconds(3000);
// From a change of the fleet until the gateways that watch the store are chosen anew.
constexpr duration fleet_settle_time = milliseconds(1500);
constexpr long connections_per_server = 24;
constexpr seconds client_idle_timeout = seconds(60);
constexpr std::size_t max_client_body_bytes = std::size_t{64} << 20;
// The rest is for the program itself, and for buffers that are larger than their content.
constexpr std::size_t message_memory_divisor = 2;
constexpr std::size_t max_call_body_bytes = std::size_t{4} << 20;
// The targets of forwarded requests are longer.
constexpr std::size_t extra_peer_header_bytes = 128;

const metric_name message_bytes_metric{"camphorrock_gateway_message_bytes",
                                       "Memory that messages take."};
const metric_name message_bytes_limit_metric{"camphorrock_gateway_message_bytes_limit",
                                             "Memory that messages may take."};

http_response make_status(int status)
{
    http_response made;
    made.status = status;
    return made;
}

} // namespace

class gateway::ready_handler : public http_handler
{
public:
    explicit ready_handler(const gateway& owner) : owner_(owner) {}

    void handle(http_request request, std::shared_ptr<http_responder> responder) override
    {
        const bool is_ready_target = request.target == owner_.codec_.ready_target();
        const int status = !is_ready_target    ? http_status::not_found
                           : owner_.is_ready() ? http_status::ok
                                               : http_status::unavailable;
        responder->respond(make_status(status));
    }

private:
    const gateway& owner_;
};

class gateway::peer_handler : public http_handler
{
public:
    // `watches` answers what is neither a forwarded request nor a call of a method; may
    // be null.
    peer_handler(rpc_server& methods, http_handler& forwards, http_handler* watches)
        : methods_(methods), forwards_(forwards), watches_(watches)
    {
    }

    void handle(http_request request, std::shared_ptr<http_responder> responder) override
    {
        if (is_forward_target(request.target))
        {
            forwards_.handle(std::move(request), std::move(responder));
            return;
        }
        const bool is_call = request.method == "POST" && request.target == "/rpc";
        if (!is_call && watches_ != nullptr)
        {
            watches_->handle(std::move(request), std::move(responder));
            return;
        }
        if (!is_call)
        {
            responder->respond(make_status(http_status::not_found));
            return;
        }
        if (request.body.size() > max_call_body_bytes)
        {
            responder->respond(make_status(http_status::content_too_large));
            return;
        }
        http_response answer;
        answer.headers.add("Content-Type", "application/json");
        answer.body = methods_.dispatch(request.body);
        responder->respond(std::move(answer));
    }

private:
    rpc_server& methods_;
    http_handler& forwards_;
    http_handler* watches_;
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
    // The servers that accept requests go first, then the components that process them.
    stop_.reset();
    client_server_.reset();
    peer_server_.reset();
    ready_server_.reset();
    forward_handler_.reset();
    client_handler_.reset();
    key_agent_.reset();
    store_check_.reset();
    load_agent_.reset();
    link_agent_.reset();
    verdict_store_.reset();
    directory_agent_.reset();
    store_.reset();
    server_http_.reset();
    order_http_.reset();
    control_http_.reset();
}

result<void> gateway::open(const store_factory& make_store)
{
    BOOST_LEAF_ASSIGN(loop_, event_loop::create());
    memory_ =
        memory_budget::create(*loop_, settings_.memory_bytes / message_memory_divisor);
    http_client_options server_options;
    server_options.memory = memory_;
    server_options.max_connections_per_endpoint = connections_per_server;
    server_options.ack_timeout = server_unresponsive_limit;
    server_options.resets_on_close = true;
    server_options.shares_pool = true;
    BOOST_LEAF_ASSIGN(server_http_, socket_client::create(*loop_, server_options));
    http_client_options control_options = server_options;
    control_options.ack_timeout = store_unresponsive_limit;
    BOOST_LEAF_ASSIGN(order_http_, socket_client::create(*loop_, control_options));
    BOOST_LEAF_ASSIGN(control_http_, http_client::create(*loop_, control_options));
    BOOST_LEAF_ASSIGN(store_, make_store(*loop_, *control_http_, settings_.store));

    store_->on_reachability_changed(
        [this](bool is_reached)
        {
            log_.events().write(is_reached ? event_id::store_regained
                                           : event_id::store_lost,
                                {{"store", settings_.store}});
        });
    const std::uint64_t seed =
        settings_.seed != 0 ? settings_.seed : std::random_device()();
    state_ = std::make_unique<gateway_state>(settings_, seed);
    state_->on_fleet_change([this] { schedule_watch_sources(); });
    order_sender_ = std::make_unique<order_sender>(*order_http_, codec_);
    rpc_ = std::make_unique<rpc_client>(*control_http_);
    directory_agent_ =
        std::make_unique<directory_agent>(*loop_, *store_, *state_, codec_, log_);
    link_agent_ = std::make_unique<link_agent>(*loop_, *state_, log_, *server_http_);
    BOOST_LEAF_ASSIGN(load_agent_,
                      load_agent::create(*loop_, *state_, log_, *link_agent_));
    load_agent_->store_writes().connect(*store_);
    keep_verdicts();
    store_check_ =
        std::make_unique<store_check>(*loop_, *store_, *state_, *rpc_, rpc_methods_);
    key_agent_ = std::make_unique<key_agent>(
        assigner_role_context{*loop_,
                              *store_,
                              *state_,
                              *order_sender_,
                              log_,
                              &load_agent_->limits(),
                              link_agent_.get(),
                              [this]
                              {
                                  verdict_store_->load(
                                      [this](const std::vector<suspect_row>& verdicts)
                                      { load_agent_->crashes().restore(verdicts); });
                              },
                              store_check_.get()},
        *rpc_,
        rpc_methods_);
    relay_context_ = std::make_unique<relay_context>(
        relay_context{*loop_,
                      *server_http_,
                      *state_,
                      codec_,
                      log_,
                      [this](const service_name& service, shard_key key)
                      { key_agent_->add_request(service, key); },
                      [this](const service_name& service, shard_key key)
                      { key_agent_->add_refusal(service, key); },
                      &load_agent_->reservations(),
                      &load_agent_->limits(),
                      &load_agent_->crashes(),
                      link_agent_.get(),
                      &load_agent_->peers()});
    client_handler_ = std::make_unique<client_handler>(*relay_context_);
    forward_handler_ =
        std::make_unique<forward_handler>(*relay_context_, *client_handler_);
    BOOST_LEAF_CHECK(open_ports());
    loop_monitor_ = std::make_unique<loop_monitor>(
        *loop_, [this](duration lateness) { log_.loop_late(lateness); });
    signal_handles_.push_back(loop_->on_signal(SIGTERM, [this] { stop(); }));
    signal_handles_.push_back(loop_->on_signal(SIGINT, [this] { stop(); }));
    return {};
}

void gateway::keep_verdicts()
{
    verdict_store_ = std::make_unique<verdict_store>(*loop_, *store_);
    load_agent_->crashes().on_verdicts([this](const std::vector<suspect_row>& verdicts)
                                       { verdict_store_->save(verdicts); });
    rpc_methods_.add("crashes.lift",
                     [this](const Json::Value& params) { return lift_verdict(params); });
}

// `params` is {"fingerprint": text_of()}.
result<Json::Value> gateway::lift_verdict(const Json::Value& params)
{
    const Json::Value& text = params["fingerprint"];
    const std::optional<request_fingerprint> request =
        parse_fingerprint(text.isString() ? text.asString() : "");
    if (!request)
    {
        return fail(error_code::invalid_argument,
                    "a fingerprint is two numbers of 16 hexadecimal digits, with a "
                    "hyphen between");
    }
    load_agent_->crashes().lift(*request);
    return Json::Value(Json::objectValue);
}

// While the assigner gets to know the fleet, each report brings a larger part of it.
void gateway::schedule_watch_sources()
{
    if (!watch_sources_timer_)
    {
        watch_sources_timer_ =
            loop_->after(fleet_settle_time, [this] { set_watch_sources(); });
    }
}

void gateway::set_watch_sources()
{
    watch_sources_timer_.reset();
    store_->set_client_count(state_->gateways().size());
    store_->set_watch_sources(watch_sources_of(state_->gateways(), state_->self()));
}

result<void> gateway::open_ports()
{
    ready_handler_ = std::make_unique<ready_handler>(*this);
    peer_handler_ = std::make_unique<peer_handler>(
        rpc_methods_, *forward_handler_, store_->watch_handler());
    pipelined_server_options client_options;
    client_options.common.address = settings_.listen;
    client_options.common.max_body_bytes = max_client_body_bytes;
    client_options.common.idle_timeout = client_idle_timeout;
    client_options.memory = memory_;
    BOOST_LEAF_ASSIGN(client_server_,
                      create_pipelined_server(*loop_, client_options, *client_handler_));
    pipelined_server_options ready_options;
    ready_options.common.address = settings_.ready;
    BOOST_LEAF_ASSIGN(ready_server_,
                      create_pipelined_server(*loop_, ready_options, *ready_handler_));
    pipelined_server_options peer_options;
    peer_options.common.address = settings_.peer;
    peer_options.common.max_header_bytes += extra_peer_header_bytes;
    peer_options.common.max_body_bytes = max_client_body_bytes;
    peer_options.memory = memory_;
    BOOST_LEAF_ASSIGN(peer_server_,
                      create_pipelined_server(*loop_, peer_options, *peer_handler_));
    open_metrics();
    return {};
}

// A gateway also runs without metrics if their address cannot be bound.
void gateway::open_metrics()
{
    if (settings_.metrics.empty())
    {
        return;
    }
    publish_memory();
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

void gateway::publish_memory()
{
    metrics_.get_gauge(message_bytes_limit_metric)
        .set(static_cast<double>(memory_->limit_bytes()));
    gauge& used = metrics_.get_gauge(message_bytes_metric);
    metrics_.before_export([this, &used]
                           { used.set(static_cast<double>(memory_->used_bytes())); });
}

int gateway::run()
{
    log_.events().write(event_id::program_ready,
                        {{"id", settings_.id},
                         {"zone", settings_.zone},
                         {"listen", settings_.listen},
                         {"store", settings_.store}});
    loop_->run();
    log_.events().write(event_id::program_stopped,
                        {{"in_flight", client_handler_->in_flight()}});
    return exit_ok;
}

void gateway::on_reload(std::function<void()> callback)
{
    signal_handles_.push_back(loop_->on_signal(SIGHUP, std::move(callback)));
}

bool gateway::is_ready() const
{
    return !is_stopping() && directory_agent_->is_loaded() &&
           key_agent_->has_assignments();
}

void gateway::stop()
{
    if (is_stopping())
    {
        return;
    }
    log_.events().write(event_id::program_stopping,
                        {{"in_flight", client_handler_->in_flight()},
                         {"connections", client_server_->connections()}});
    key_agent_->shut_down();
    forward_handler_->stop();
    stop_ = std::make_unique<gateway_stop>(*loop_,
                                           *client_server_,
                                           *client_handler_,
                                           settings_.stop_limit,
                                           [this] { loop_->stop(); });
}

} // namespace camphorrock
