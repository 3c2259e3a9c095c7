#include "router/router.hpp"

#include "app/program.hpp"
#include "core/ownership/record_keys.hpp"

#include <algorithm>
#include <csignal>
#include <utility>

namespace camphorrock
{
namespace
{

const metric_name held_metric{"camphorrock_held_requests",
                              "Requests held by this router."};
const metric_name config_metric{"camphorrock_config_version",
                                "Version of the configuration in force."};
const metric_name current_metric{
    "camphorrock_config_current",
    "1 while the configuration is known to be current; else requests are refused."};
const metric_name started_metric{
    "camphorrock_started_seconds",
    "Start of this process, counted from the start of the machine."};

constexpr duration registration_period = seconds(2);
constexpr duration stop_check_period = milliseconds(20);

// Time without requests before the exit.
constexpr duration idle_time_before_exit = milliseconds(300);

// Time for load balancers to see the state `leaving` before the caller port closes.
constexpr duration leaving_notice_time = milliseconds(300);

// The peer port has few connections, but its messages hold complete shard records.
constexpr std::size_t max_peer_body_bytes = std::size_t(64) << 20; // 64 MB

} // namespace

result<std::unique_ptr<router>> router::create(const router_settings& settings,
                                               event_log& log)
{
    std::unique_ptr<router> made(new router(settings, log));
    BOOST_LEAF_CHECK(made->open());
    return made;
}

router::router(const router_settings& settings, event_log& log)
    : settings_(settings), log_(log),
      random_(settings.seed != 0 ? settings.seed : std::random_device()()),
      routes_(settings.id)
{
}

router::~router()
{
    // A request that is dropped ends through request_handler_, so its holders are
    // destroyed first: the ports, which accept new requests, then the HTTP exchanges,
    // then the shard agents with their dispatchers.
    peer_server_.reset();
    caller_server_.reset();
    http_.reset();
    control_http_.reset();
    shards_.clear();
}

result<void> router::open()
{
    BOOST_LEAF_CHECK(open_clients());
    context_.reset(new router_context{settings_,
                                      *loop_,
                                      *http_,
                                      *control_http_,
                                      *rpc_,
                                      *store_,
                                      log_,
                                      metrics_,
                                      routes_,
                                      random_,
                                      *assigners_,
                                      retries_,
                                      journal_writes_,
                                      ownership_options()});
    started_at_ = loop_->now();
    voter_ = std::make_unique<voter>(context_->ownership, started_at_);
    journal_lease_ = std::make_unique<journal_lease>(*loop_, *store_);
    config_ = std::make_unique<config_agent>(*loop_,
                                             *store_,
                                             *rpc_,
                                             [this](const configuration& config)
                                             { config_changed(config); });
    auto find = [this](const shard_id& shard)
    {
        return find_shard(shard);
    };
    request_handler_ = std::make_unique<request_handler>(*context_, *config_, find);
    peer_request_handler_ = std::make_unique<peer_request_handler>(
        *context_,
        *config_,
        *voter_,
        find,
        [this](http_request request, const std::shared_ptr<http_responder>& responder)
        { request_handler_->handle_forwarded(std::move(request), responder); });
    BOOST_LEAF_CHECK(open_ports());
    metrics_.before_export([this] { export_metrics(); });
    signals_.push_back(loop_->on_signal(SIGTERM, [this] { stop(); }));
    signals_.push_back(loop_->on_signal(SIGINT, [this] { stop(); }));
    return {};
}

result<void> router::open_clients()
{
    BOOST_LEAF_ASSIGN(loop_, event_loop::create());
    http_client_options client_options;
    client_options.source = settings_.source;
    BOOST_LEAF_ASSIGN(http_, http_client::create(*loop_, client_options));
    BOOST_LEAF_ASSIGN(control_http_, http_client::create(*loop_, client_options));
    rpc_ = std::make_unique<rpc_client>(*control_http_);
    store_client_options options;
    options.endpoints = settings_.store;
    BOOST_LEAF_ASSIGN(store_, create_store_client(*loop_, *control_http_, options));
    instances_ = std::make_unique<instance_list>(*control_http_, settings_.platform);
    assigners_ = std::make_unique<assigner_directory>(*loop_, *instances_);
    return {};
}

result<void> router::open_ports()
{
    http_server_options caller_options;
    caller_options.address = settings_.listen;
    caller_options.max_body_bytes = settings_.max_body_bytes;
    BOOST_LEAF_ASSIGN(caller_server_,
                      http_server::create(*loop_, caller_options, *request_handler_));
    http_server_options peer_options;
    peer_options.address = settings_.peer;
    peer_options.max_body_bytes = max_peer_body_bytes;
    peer_options.max_header_bytes = 2 * caller_options.max_header_bytes;
    BOOST_LEAF_ASSIGN(peer_server_,
                      http_server::create(*loop_, peer_options, *peer_request_handler_));
    settings_.peer = peer_server_->bound();
    if (settings_.advertise.empty())
    {
        settings_.advertise = settings_.peer;
    }
    BOOST_LEAF_ASSIGN(
        admin_server_,
        admin_server::create(
            *loop_, settings_.admin, metrics_, [this] { return is_ready(); }));
    return {};
}

int router::run()
{
    config_->start();
    assigners_->start();
    register_self(instance_state::live);
    registration_timer_ = loop_->every(registration_period,
                                       [this] { register_self(instance_state::live); });
    print_listening(caller_server_->bound());
    log_.write(event_id::program_ready,
               {{"address", caller_server_->bound()},
                {"peer", settings_.peer},
                {"zone", settings_.zone}});
    loop_->run();
    log_.write(event_id::program_stopped, {});
    return exit_ok;
}

void router::config_changed(const configuration& config)
{
    log_.write(event_id::config_in_force, {{"version", config.version.value}});
    retries_.configure(config.services);
    for (const service_config& it : config.services)
    {
        shard_id shard = shard_of(it.name);
        std::unique_ptr<shard_agent>& agent = shards_[shard];
        if (!agent)
        {
            agent = std::make_unique<shard_agent>(
                *context_, *config_, *voter_, *journal_lease_, it);
        }
        agent->configure(it, config.fleet);
    }
    for (auto& [shard, agent] : shards_)
    {
        if (find_service(config, agent->service()) == nullptr)
        {
            agent->remove();
        }
    }
}

shard_agent* router::find_shard(const shard_id& shard)
{
    auto it = shards_.find(shard);
    return it == shards_.end() ? nullptr : it->second.get();
}

bool router::is_ready() const
{
    return !is_stopping_ && config_->may_serve();
}

void router::export_metrics()
{
    metrics_.get_gauge(held_metric)
        .set(static_cast<double>(request_handler_->held_requests()));
    metrics_.get_gauge(config_metric)
        .set(static_cast<double>(config_->current().version.value));
    metrics_.get_gauge(current_metric).set(config_->may_serve() ? 1 : 0);
    metrics_.get_gauge(started_metric)
        .set(std::chrono::duration<double>(started_at_.time_since_epoch()).count());
    for (const auto& [id, agent] : shards_)
    {
        agent->export_metrics();
    }
}

void router::register_self(instance_state state)
{
    instance_entry self;
    self.id = settings_.id;
    self.role = instance_role::router;
    self.zone = settings_.zone;
    self.peer = settings_.advertise;
    self.state = state;
    instances_->enter(self, [](bool) {});
}

void router::stop()
{
    if (is_stopping_)
    {
        return;
    }
    is_stopping_ = true;
    last_busy_at_ = loop_->now();
    stop_deadline_ = last_busy_at_ + settings_.drain_limit;
    log_.write(event_id::program_stopping, {{"held", request_handler_->held_requests()}});
    registration_timer_ = loop_->every(
        registration_period, [this] { register_self(instance_state::leaving); });
    register_self(instance_state::leaving);
    for (auto& [id, agent] : shards_)
    {
        agent->announce_leaving();
    }
    stop_timer_ = loop_->after(leaving_notice_time,
                               [this]
                               {
                                   caller_server_->stop_accepting();
                                   stop_timer_ = loop_->every(stop_check_period,
                                                              [this] { finish_stop(); });
                               });
}

bool router::is_idle() const
{
    return request_handler_->held_requests() == 0 && caller_server_->in_flight() == 0 &&
           std::all_of(shards_.begin(),
                       shards_.end(),
                       [](const auto& it) { return it.second->is_idle(); });
}

void router::finish_stop()
{
    time_point now = loop_->now();
    if (!is_idle())
    {
        last_busy_at_ = now;
    }
    // A caller may send on a kept-alive connection until it has received the answer that
    // closes it.
    if (now - last_busy_at_ < idle_time_before_exit && now < stop_deadline_)
    {
        return;
    }
    if (is_deregistered_)
    {
        stop_timer_.reset();
        loop_->stop();
        return;
    }
    // Requests may arrive while this router is removed from the instance list; the idle
    // time then starts again.
    registration_timer_.reset();
    if (!std::exchange(is_deregistering_, true))
    {
        instances_->leave(settings_.id, [this](bool) { is_deregistered_ = true; });
    }
}

} // namespace camphorrock
