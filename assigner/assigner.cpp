#include "assigner/assigner.hpp"

#include "app/program.hpp"
#include "codec/messages_json.hpp"
#include "core/ownership/record_keys.hpp"

#include <csignal>
#include <iterator>
#include <set>

namespace camphorrock
{
namespace
{

constexpr duration instance_list_period = seconds(1);
constexpr duration election_period = milliseconds(500);
// The report of a router that has sent no other for this time is deleted.
constexpr duration max_router_report_age = seconds(60);
constexpr std::size_t max_peer_body_bytes = std::size_t(16) << 20; // 16 MiB

} // namespace

result<std::unique_ptr<assigner>> assigner::create(const assigner_settings& settings,
                                                   event_log& log)
{
    std::unique_ptr<assigner> made(new assigner(settings, log));
    BOOST_LEAF_CHECK(made->open());
    return made;
}

assigner::assigner(const assigner_settings& settings, event_log& log)
    : settings_(settings), log_(log),
      random_(settings.seed != 0 ? settings.seed : std::random_device()())
{
}

assigner::~assigner()
{
    // These can still call back into the other members, so they are destroyed first.
    lease_watch_.reset();
    http_.reset();
}

result<void> assigner::open()
{
    BOOST_LEAF_CHECK(open_clients());
    context_.reset(new assigner_context{settings_,
                                        *loop_,
                                        *rpc_,
                                        *store_,
                                        log_,
                                        metrics_,
                                        random_,
                                        assignment_options(),
                                        ownership_options()});
    lease_ = std::make_unique<lease_keeper>(*context_, [this] { lease_lost(); });
    config_ = std::make_unique<config_agent>(*loop_,
                                             *store_,
                                             *rpc_,
                                             [this](const configuration& config)
                                             { config_changed(config); });
    api_ = std::make_unique<assigner_api>(*context_, *config_, [this] { return view(); });
    api_->rpc().add("shard.report",
                    [this](const Json::Value& params) { return receive_report(params); });
    BOOST_LEAF_CHECK(open_ports());
    loop_handles_.push_back(loop_->on_signal(SIGTERM, [this] { stop(); }));
    loop_handles_.push_back(loop_->on_signal(SIGINT, [this] { stop(); }));
    return {};
}

result<void> assigner::open_clients()
{
    BOOST_LEAF_ASSIGN(loop_, event_loop::create());
    http_client_options clients;
    clients.source = settings_.source;
    BOOST_LEAF_ASSIGN(http_, http_client::create(*loop_, clients));
    rpc_ = std::make_unique<rpc_client>(*http_);
    store_client_options options;
    options.endpoints = settings_.store;
    BOOST_LEAF_ASSIGN(store_, create_store_client(*loop_, *http_, options));
    instances_ = std::make_unique<instance_list>(*http_, settings_.platform);
    return {};
}

result<void> assigner::open_ports()
{
    http_server_options peers;
    peers.address = settings_.peer;
    peers.max_body_bytes = max_peer_body_bytes;
    BOOST_LEAF_ASSIGN(peer_server_, http_server::create(*loop_, peers, *api_));
    settings_.peer = peer_server_->bound();
    if (settings_.advertise.empty())
    {
        settings_.advertise = settings_.peer;
    }
    BOOST_LEAF_ASSIGN(
        admin_server_,
        admin_server::create(*loop_,
                             settings_.admin,
                             metrics_,
                             [this] { return !is_stopping_ && config_->may_serve(); }));
    return {};
}

int assigner::run()
{
    lease_->start();
    config_->start();
    register_self(instance_state::live);
    read_instances();
    loop_handles_.push_back(loop_->every(
        instance_list_period,
        [this]
        {
            register_self(is_stopping_ ? instance_state::leaving : instance_state::live);
            read_instances();
        }));
    loop_handles_.push_back(
        loop_->every(election_period, [this] { attempt_elections(); }));
    lease_watch_ = store_->watch(shard_prefix,
                                 watch_start{},
                                 [this](const std::vector<store_entry>& changed)
                                 { lease_keys_changed(changed); });
    print_listening(peer_server_->bound());
    log_.write(event_id::program_ready,
               {{"peer", settings_.peer}, {"zone", settings_.zone}});
    loop_->run();
    log_.write(event_id::program_stopped, {});
    return exit_ok;
}

void assigner::config_changed(const configuration& config)
{
    log_.write(event_id::config_in_force, {{"version", config.version.value}});
    remove_shards(config);
    for (const service_config& it : config.services)
    {
        shard_id shard = shard_of(it.name);
        if (auto readded = removed_shards_.extract(shard))
        {
            readded.mapped()->routers_listed(listed_routers_);
            shards_.insert(std::move(readded));
        }
        std::unique_ptr<shard_manager>& manager = shards_[shard];
        if (!manager)
        {
            manager = std::make_unique<shard_manager>(*context_, *lease_, *config_, it);
            manager->routers_listed(listed_routers_);
        }
        manager->configure(it);
    }
    attempt_elections();
}

void assigner::remove_shards(const configuration& config)
{
    std::set<shard_id> configured;
    for (const service_config& it : config.services)
    {
        configured.insert(shard_of(it.name));
    }
    for (auto it = shards_.begin(); it != shards_.end();)
    {
        auto next = std::next(it);
        if (!configured.contains(it->first))
        {
            it->second->deactivate();
            removed_shards_.insert(shards_.extract(it));
        }
        it = next;
    }
}

void assigner::read_instances()
{
    instances_->read(
        [this](const std::optional<std::vector<instance_entry>>& got)
        {
            if (!got)
            {
                return;
            }
            listed_routers_.clear();
            for (const instance_entry& it : *got)
            {
                if (it.role == instance_role::router)
                {
                    bool is_leaving = it.state == instance_state::leaving;
                    listed_routers_.push_back({it.id, it.peer, it.zone, is_leaving});
                }
            }
            for (auto& [id, manager] : shards_)
            {
                manager->routers_listed(listed_routers_);
            }
        });
}

void assigner::register_self(instance_state state)
{
    instance_entry self;
    self.id = settings_.id;
    self.role = instance_role::assigner;
    self.zone = settings_.zone;
    self.peer = settings_.advertise;
    self.state = state;
    instances_->enter(self, [](bool) {});
}

void assigner::attempt_elections()
{
    if (is_stopping_)
    {
        return;
    }
    for (auto& [id, manager] : shards_)
    {
        manager->election().attempt();
    }
}

void assigner::lease_keys_changed(const std::vector<store_entry>& changed)
{
    for (auto& [id, manager] : shards_)
    {
        const std::string key = lease_key(id);
        bool is_deleted =
            std::any_of(changed.begin(),
                        changed.end(),
                        [&](const store_entry& it)
                        { return it.key == key && it.revision == store_revision{}; });
        if (is_deleted && !is_stopping_)
        {
            manager->election().key_deleted();
        }
    }
}

void assigner::lease_lost()
{
    for (auto& [id, manager] : shards_)
    {
        manager->election().lease_lost();
    }
}

result<Json::Value> assigner::receive_report(const Json::Value& params)
{
    BOOST_LEAF_AUTO(report, read_message<report_params>(params));
    time_point now = loop_->now();
    router_reports_[report.router] = {
        report.peer, report.zone, report.config, now, report.leaving};
    std::erase_if(router_reports_,
                  [&](const auto& it)
                  { return now - it.second.received_at > max_router_report_age; });
    report_answer answer;
    answer.config = config_->current().version;
    for (const shard_status& status : report.shards)
    {
        auto it = shards_.find(status.shard);
        if (it == shards_.end())
        {
            answer.shards.push_back({status.shard, epoch{}});
            continue;
        }
        it->second->reported(report, status);
        const std::optional<shard_record>& record = it->second->controller().record();
        answer.shards.push_back({status.shard, record ? record->version : epoch{}});
    }
    return write_message(answer);
}

fleet_view assigner::view() const
{
    return {settings_.id, config_->current(), shards_, router_reports_, loop_->now()};
}

void assigner::stop()
{
    if (is_stopping_)
    {
        return;
    }
    is_stopping_ = true;
    log_.write(event_id::program_stopping, {});
    lease_->release(
        [this] { instances_->leave(settings_.id, [this](bool) { loop_->stop(); }); });
}

} // namespace camphorrock
