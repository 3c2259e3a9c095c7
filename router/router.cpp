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

constexpr duration list_period = seconds(2);
constexpr duration stop_check_period = milliseconds(20);
constexpr duration quiet_time = milliseconds(300);   // without requests, before the exit
constexpr duration leave_notice = milliseconds(300); // for balancers to see the state

// The peer port's connections are few but its messages hold whole records.
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
    // Whatever holds a request ends it while the entry is there: first the ports, which
    // bring new ones, then the exchanges, then the lanes.
    peer_server_.reset();
    caller_server_.reset();
    http_.reset();
    control_http_.reset();
    shards_.clear();
}

result<void> router::open()
{
    BOOST_LEAF_CHECK(open_clients());
    parts_.reset(new router_parts{settings_,
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
    started_ = loop_->now();
    votes_ = std::make_unique<voter>(parts_->ownership, started_);
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
    entry_ = std::make_unique<entry>(*parts_, *config_, find);
    peer_port_ = std::make_unique<peer_port>(
        *parts_,
        *config_,
        *votes_,
        find,
        [this](http_request request, const std::shared_ptr<http_responder>& responder)
        { entry_->handle_forwarded(std::move(request), responder); });
    BOOST_LEAF_CHECK(open_ports());
    metrics_.before_export([this] { export_metrics(); });
    signals_.push_back(loop_->on_signal(SIGTERM, [this] { stop(); }));
    signals_.push_back(loop_->on_signal(SIGINT, [this] { stop(); }));
    return {};
}

result<void> router::open_clients()
{
    BOOST_LEAF_ASSIGN(loop_, event_loop::create());
    http_client_options clients;
    clients.source = settings_.source;
    BOOST_LEAF_ASSIGN(http_, http_client::create(*loop_, clients));
    BOOST_LEAF_ASSIGN(control_http_, http_client::create(*loop_, clients));
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
    http_server_options callers;
    callers.address = settings_.listen;
    callers.max_body_bytes = settings_.max_body_bytes;
    BOOST_LEAF_ASSIGN(caller_server_, http_server::create(*loop_, callers, *entry_));
    http_server_options peers;
    peers.address = settings_.peer;
    peers.max_body_bytes = max_peer_body_bytes;
    peers.max_header_bytes = 2 * callers.max_header_bytes;
    BOOST_LEAF_ASSIGN(peer_server_, http_server::create(*loop_, peers, *peer_port_));
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
    enter_list(instance_state::live);
    list_timer_ = loop_->every(list_period, [this] { enter_list(instance_state::live); });
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
                *parts_, *config_, *votes_, *journal_lease_, it);
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
    metrics_.get_gauge(held_metric).set(static_cast<double>(entry_->held()));
    metrics_.get_gauge(config_metric)
        .set(static_cast<double>(config_->current().version.value));
    metrics_.get_gauge(current_metric).set(config_->may_serve() ? 1 : 0);
    metrics_.get_gauge(started_metric)
        .set(std::chrono::duration<double>(started_.time_since_epoch()).count());
    for (const auto& [id, agent] : shards_)
    {
        agent->export_metrics();
    }
}

void router::enter_list(instance_state state)
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
    last_busy_ = loop_->now();
    stop_by_ = last_busy_ + settings_.drain_limit;
    log_.write(event_id::program_stopping, {{"held", entry_->held()}});
    list_timer_ =
        loop_->every(list_period, [this] { enter_list(instance_state::leaving); });
    enter_list(instance_state::leaving);
    for (auto& [id, agent] : shards_)
    {
        agent->leave();
    }
    stop_timer_ = loop_->after(leave_notice,
                               [this]
                               {
                                   caller_server_->stop_accepting();
                                   stop_timer_ = loop_->every(stop_check_period,
                                                              [this] { finish_stop(); });
                               });
}

bool router::is_idle() const
{
    return entry_->held() == 0 && caller_server_->in_flight() == 0 &&
           std::all_of(shards_.begin(),
                       shards_.end(),
                       [](const auto& it) { return it.second->is_idle(); });
}

void router::finish_stop()
{
    time_point now = loop_->now();
    if (!is_idle())
    {
        last_busy_ = now;
    }
    // A caller may send on a kept connection until it has seen the answer that closes it.
    if (now - last_busy_ < quiet_time && now < stop_by_)
    {
        return;
    }
    if (has_left_list_)
    {
        stop_timer_.reset();
        loop_->stop();
        return;
    }
    // Requests may come while the list is told; then the wait begins anew.
    list_timer_.reset();
    if (!std::exchange(is_leaving_list_, true))
    {
        instances_->leave(settings_.id, [this](bool) { has_left_list_ = true; });
    }
}

} // namespace camphorrock
