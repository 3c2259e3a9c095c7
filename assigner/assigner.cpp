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

constexpr duration list_period = seconds(1);
constexpr duration election_period = milliseconds(500);
constexpr duration contact_limit = seconds(60); // of a router that reports no more
constexpr std::size_t max_peer_body_bytes = std::size_t(16) << 20; // 16 MB

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
    // What calls back into the parts goes first.
    lease_watch_.reset();
    http_.reset();
}

result<void> assigner::open()
{
    BOOST_LEAF_CHECK(open_clients());
    parts_.reset(new assigner_parts{settings_,
                                    *loop_,
                                    *rpc_,
                                    *store_,
                                    log_,
                                    metrics_,
                                    random_,
                                    assignment_options(),
                                    ownership_options()});
    lease_ = std::make_unique<lease_keeper>(*parts_, [this] { lease_lost(); });
    config_ = std::make_unique<config_agent>(*loop_,
                                             *store_,
                                             *rpc_,
                                             [this](const configuration& config)
                                             { config_changed(config); });
    port_ = std::make_unique<operator_port>(*parts_, *config_, [this] { return view(); });
    port_->rpc().add("shard.report",
                     [this](const Json::Value& params) { return take_report(params); });
    BOOST_LEAF_CHECK(open_ports());
    handles_.push_back(loop_->on_signal(SIGTERM, [this] { stop(); }));
    handles_.push_back(loop_->on_signal(SIGINT, [this] { stop(); }));
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
    BOOST_LEAF_ASSIGN(peer_server_, http_server::create(*loop_, peers, *port_));
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
    enter_list(instance_state::live);
    read_list();
    handles_.push_back(loop_->every(list_period,
                                    [this]
                                    {
                                        enter_list(is_stopping_ ? instance_state::leaving
                                                                : instance_state::live);
                                        read_list();
                                    }));
    handles_.push_back(loop_->every(election_period, [this] { attempt_elections(); }));
    lease_watch_ = store_->watch(shard_prefix,
                                 watch_start{},
                                 [this](const std::vector<store_entry>& changed)
                                 { keys_changed(changed); });
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
        if (auto again = removed_.extract(shard))
        {
            again.mapped()->routers_listed(listed_);
            shards_.insert(std::move(again));
        }
        std::unique_ptr<shard_desk>& desk = shards_[shard];
        if (!desk)
        {
            desk = std::make_unique<shard_desk>(*parts_, *lease_, *config_, it);
            desk->routers_listed(listed_);
        }
        desk->configure(it);
    }
    attempt_elections();
}

void assigner::remove_shards(const configuration& config)
{
    std::set<shard_id> wanted;
    for (const service_config& it : config.services)
    {
        wanted.insert(shard_of(it.name));
    }
    for (auto it = shards_.begin(); it != shards_.end();)
    {
        auto next = std::next(it);
        if (!wanted.contains(it->first))
        {
            it->second->remove();
            removed_.insert(shards_.extract(it));
        }
        it = next;
    }
}

void assigner::read_list()
{
    instances_->read(
        [this](const std::optional<std::vector<instance_entry>>& got)
        {
            if (!got)
            {
                return;
            }
            listed_.clear();
            for (const instance_entry& it : *got)
            {
                if (it.role == instance_role::router)
                {
                    bool is_leaving = it.state == instance_state::leaving;
                    listed_.push_back({it.id, it.peer, it.zone, is_leaving});
                }
            }
            for (auto& [id, desk] : shards_)
            {
                desk->routers_listed(listed_);
            }
        });
}

void assigner::enter_list(instance_state state)
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
    for (auto& [id, desk] : shards_)
    {
        desk->election().attempt();
    }
}

void assigner::keys_changed(const std::vector<store_entry>& changed)
{
    for (auto& [id, desk] : shards_)
    {
        const std::string key = lease_key(id);
        bool has_gone =
            std::any_of(changed.begin(),
                        changed.end(),
                        [&](const store_entry& it)
                        { return it.key == key && it.revision == store_revision{}; });
        if (has_gone && !is_stopping_)
        {
            desk->election().key_gone();
        }
    }
}

void assigner::lease_lost()
{
    for (auto& [id, desk] : shards_)
    {
        desk->election().lease_lost();
    }
}

result<Json::Value> assigner::take_report(const Json::Value& params)
{
    BOOST_LEAF_AUTO(report, read_message<report_params>(params));
    time_point now = loop_->now();
    routers_[report.router] = {
        report.peer, report.zone, report.config, now, report.leaving};
    std::erase_if(routers_,
                  [&](const auto& it) { return now - it.second.at > contact_limit; });
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
    return {settings_.id, config_->current(), shards_, routers_, loop_->now()};
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
