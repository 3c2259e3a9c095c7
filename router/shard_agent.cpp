#include "router/shard_agent.hpp"

#include "codec/shard_record_json.hpp"
#include "core/ownership/record_keys.hpp"
#include "net/rpc_answer.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

const metric_name epoch_metric{"camphorrock_record_epoch",
                               "Version of the shard record in use."};
const metric_name authority_metric{"camphorrock_authority",
                                   "1 while a majority vouches for this router."};
const metric_name ids_metric{"camphorrock_remembered_ids",
                             "Ids of unrepeatable requests held in memory."};
const metric_name in_flight_metric{"camphorrock_in_flight", "Requests at a server."};
const metric_name waiting_metric{"camphorrock_waiting",
                                 "Requests that wait for a server."};

// Rounds that are not the authority's own have numbers that it never uses.
constexpr std::uint64_t first_own_round = std::uint64_t(1) << 62;
constexpr duration own_round_period = seconds(2);

constexpr duration tick_period = milliseconds(20);
constexpr duration record_read_period = seconds(60);
constexpr duration record_retry_period = seconds(1);
constexpr duration vouch_timeout = milliseconds(400);

// A load, in slot seconds a second, as the slot time used in a second.
duration span_of(double load)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(load));
}

} // namespace

shard_agent::shard_agent(router_parts& parts,
                         config_agent& config,
                         voter& votes,
                         journal_lease& lease,
                         const service_config& service)
    : parts_(parts), config_(config), votes_(votes), shard_(shard_of(service.name)),
      request_time_({}),
      authority_(shard_, parts.settings.id, parts.ownership, parts.loop.now()),
      once_(parts,
            lease,
            shard_,
            [this](const live_request_ptr& request, server_lane::callback done)
            { run(request, std::move(done)); }),
      caller_(parts.loop,
              parts.rpc,
              shard_,
              [this](const endpoint& address, time_point sent_before)
              { connections_silent(address, sent_before); }),
      reporter_(parts, config, shard_), load_({}),
      connections_(parts.http, parts.control_http)
{
    request_time_.set(service.max_request, parts_.loop.now());
    update_request_time();
    start();
}

void shard_agent::start()
{
    tick_timer_ = parts_.loop.every(tick_period, [this] { tick(); });
    read_record();
}

void shard_agent::remove()
{
    is_removed_ = true;
}

// Grants lapse by themselves. A later start() is like the end of a long pause.
void shard_agent::stop()
{
    tick_timer_.reset();
    read_timer_.reset();
    once_.release_all();
    lanes_.clear();
    lanes_version_ = {};
    limit_connections();
}

void shard_agent::configure(const service_config& service, const fleet_config& fleet)
{
    share_journal_writes();
    once_.configure(service, fleet);
    if (authority_.record())
    {
        once_.set_authority(authority_.authority_until());
        once_.record_changed(*authority_.record());
    }
    bool has_other_slots = service.slots_per_server != service_.slots_per_server;
    service_ = service;
    request_time_.set(service.max_request, parts_.loop.now());
    update_request_time();
    is_removed_ = false;
    if (!tick_timer_)
    {
        start();
    }
    update_lanes();
    if (has_other_slots)
    {
        set_slots();
    }
    limit_connections();
}

void shard_agent::set_slots()
{
    for (auto& [id, lane] : lanes_)
    {
        lane->set_slots(service_.slots_per_server);
    }
}

void shard_agent::limit_connections()
{
    std::set<endpoint> servers;
    for (const auto& [id, lane] : lanes_)
    {
        const server_entry* server = find_server(*authority_.record(), id);
        if (server != nullptr)
        {
            servers.insert(server->address);
        }
    }
    connections_.update(service_, servers);
}

void shard_agent::submit(const live_request_ptr& request)
{
    if (is_removed_)
    {
        request->refuse(refusal::unknown_service, service_.name.str());
        return;
    }
    if (!authority_.is_scheduler_of(request->target.hash))
    {
        request->refuse(refusal::no_owner, "this router does not schedule the key");
        return;
    }
    request->deadline =
        std::min(request->deadline, parts_.loop.now() + service_.max_request);
    if (!request->id.empty())
    {
        submit_once(request);
        return;
    }
    run(request,
        [request](lane_end end)
        {
            if (end.verdict == lane_verdict::answered)
            {
                request->answer(std::move(end.answer));
                return;
            }
            request->refuse(end.why);
        });
}

void shard_agent::submit_once(const live_request_ptr& request)
{
    const partition_entry* partition =
        find_partition(*authority_.record(), request->target.hash);
    once_.submit(request, partition->since);
}

void shard_agent::run(const live_request_ptr& request, server_lane::callback done)
{
    std::optional<request_permit> permit =
        authority_.permit(request->target.hash, parts_.loop.now());
    server_lane* lane = permit ? lane_of(permit->server) : nullptr;
    if (lane == nullptr)
    {
        done({lane_verdict::not_run, {}, {refusal::no_authority, {}, {}}});
        return;
    }
    ticket id = lane->submit(request, std::move(done));
    server_id server = permit->server;
    if (!request->is_ended() && request->id.empty())
    {
        request->on_gone = [this, server, id]
        {
            if (server_lane* it = lane_of(server))
            {
                it->withdraw(id);
            }
        };
    }
}

void shard_agent::record_received(const shard_record& record, const endpoint& peer)
{
    if (!tick_timer_)
    {
        return;
    }
    reporter_.assigner_seen(peer);
    scheduler_actions actions;
    authority_.record_received(record, parts_.loop.now(), actions);
    took_record();
    carry_out(actions);
}

void shard_agent::leave()
{
    scheduler_actions actions;
    authority_.leave(parts_.loop.now(), actions);
    carry_out(actions);
}

bool shard_agent::is_drained() const
{
    return once_.is_idle() &&
           std::all_of(lanes_.begin(),
                       lanes_.end(),
                       [](const auto& it)
                       { return it.second->waiting() + it.second->in_flight() == 0; });
}

bool shard_agent::is_idle() const
{
    if (!is_drained())
    {
        return false;
    }
    const std::optional<shard_record>& record = authority_.record();
    if (!record || is_removed_)
    {
        return true;
    }
    return std::none_of(record->servers.begin(),
                        record->servers.end(),
                        [&](const server_entry& it)
                        { return it.scheduler == parts_.settings.id; });
}

// A request that is waited for as long as this was begun that long ago or earlier. Unless
// the configuration is known to have been current since, it may be of any length.
void shard_agent::update_request_time()
{
    duration longest = request_time_.at(parts_.loop.now());
    authority_.set_max_request_time(
        config_.is_current_within(longest) ? longest : max_request_limit);
}

void shard_agent::tick()
{
    if (is_removed_ && is_drained())
    {
        stop();
        return;
    }
    update_request_time();
    scheduler_actions actions;
    authority_.tick(parts_.loop.now(), actions);
    carry_out(actions);
    note_authority();
    ask_voters();
}

void shard_agent::note_authority()
{
    bool has_authority = authority_.holds_authority(parts_.loop.now());
    if (has_authority == had_authority_)
    {
        return;
    }
    had_authority_ = has_authority;
    event_id what = has_authority ? event_id::authority_gained : event_id::authority_lost;
    parts_.log.write(what, {{"shard", shard_}});
}

// A router that schedules nothing here sends no rounds of its own accord, but needs the
// voters' word that its configuration is current while the store is away.
void shard_agent::ask_voters()
{
    const std::optional<shard_record>& record = authority_.record();
    if (!record || parts_.loop.now() - round_.sent_at() < own_round_period)
    {
        return;
    }
    send_vouch asked;
    asked.round = first_own_round + ++own_rounds_;
    asked.version = record->version;
    for (const voter_entry& it : record->voters)
    {
        asked.to = it;
        carry_out(asked);
    }
}

void shard_agent::export_metrics() const
{
    const std::string shard = shard_.str();
    double epoch =
        authority_.record() ? static_cast<double>(authority_.record()->version.value) : 0;
    parts_.metrics.get_gauge(epoch_metric, {{"shard", shard}}).set(epoch);
    parts_.metrics.get_gauge(authority_metric, {{"shard", shard}})
        .set(authority_.holds_authority(parts_.loop.now()) ? 1 : 0);
    parts_.metrics.get_gauge(ids_metric, {{"shard", shard}})
        .set(static_cast<double>(once_.remembered_ids()));
    for (const auto& [id, lane] : lanes_)
    {
        metric_labels labels{{"shard", shard}, {"server", id.str()}};
        parts_.metrics.get_gauge(in_flight_metric, labels)
            .set(static_cast<double>(lane->in_flight()));
        parts_.metrics.get_gauge(waiting_metric, labels)
            .set(static_cast<double>(lane->waiting()));
    }
}

void shard_agent::read_record()
{
    if (is_reading_)
    {
        return;
    }
    is_reading_ = true;
    time_point begun_at = parts_.loop.now();
    parts_.store.get(
        record_key(shard_),
        [this, begun_at](const store_read& got)
        {
            is_reading_ = false;
            if (!tick_timer_)
            {
                return;
            }
            bool is_done = got.end == store_end::done;
            duration next = is_done && !got.entries.empty() ? record_read_period
                                                            : record_retry_period;
            read_timer_ = parts_.loop.after(next, [this] { read_record(); });
            if (!is_done)
            {
                return;
            }
            time_point now = parts_.loop.now();
            if (got.entries.empty())
            {
                votes_.store_read(shard_, epoch{}, begun_at, now);
                scheduler_actions reports;
                authority_.store_read(std::nullopt, begun_at, now, reports);
                carry_out(reports);
                return;
            }
            value_or_handle(
                [&]() -> result<void>
                {
                    BOOST_LEAF_AUTO(record,
                                    parse_shard_record(got.entries.front().value));
                    votes_.store_read(shard_, record.version, begun_at, now);
                    scheduler_actions actions;
                    authority_.store_read(record, begun_at, now, actions);
                    took_record();
                    carry_out(actions);
                    return {};
                },
                [&](const error& ec)
                {
                    parts_.log.write(event_id::record_unreadable,
                                     {{"shard", shard_}, {"fault", ec.text}});
                });
        });
}

void shard_agent::took_record()
{
    const std::optional<shard_record>& record = authority_.record();
    if (record && parts_.routes.offer(*record))
    {
        parts_.log.write(event_id::record_adopted,
                         {{"shard", shard_},
                          {"epoch", record->version},
                          {"assigner", record->assigner}});
        share_journal_writes();
        once_.set_authority(authority_.authority_until());
        once_.record_changed(*record);
        measure_partitions(*record);
    }
    update_lanes();
}

// Only routers that schedule servers write to journals.
void shard_agent::share_journal_writes()
{
    const fleet_config& fleet = config_.current().fleet;
    parts_.journal_writes.share(fleet.store_writes_per_second,
                                parts_.routes.schedulers());
}

void shard_agent::measure_partitions(const shard_record& record)
{
    std::vector<hash_range> ranges;
    for (const partition_entry& it : record.partitions)
    {
        const server_entry* owner = find_server(record, it.owner);
        if (owner != nullptr && owner->scheduler == parts_.settings.id)
        {
            ranges.push_back(it.range);
        }
    }
    load_.set_partitions(ranges, parts_.loop.now());
}

void shard_agent::update_lanes()
{
    const std::optional<shard_record>& record = authority_.record();
    bool is_current = record && record->version == lanes_version_;
    if (!record || is_current || service_.name.empty())
    {
        return;
    }
    lanes_version_ = record->version;
    drop_idle_lanes(*record);
    for (const server_entry& it : record->servers)
    {
        bool is_ours = it.scheduler == parts_.settings.id;
        bool is_new = is_ours && lanes_.count(it.id) == 0;
        if (!is_new)
        {
            continue;
        }
        value_or_handle(
            [&]() -> result<void>
            {
                BOOST_LEAF_AUTO(
                    lane,
                    server_lane::create(
                        parts_, authority_, load_, it.id, service_.slots_per_server));
                lanes_.emplace(it.id, std::move(lane));
                return {};
            },
            [&](const error& ec) {
                parts_.log.write(event_id::lane_failed,
                                 {{"server", it.id}, {"fault", ec.text}});
            });
    }
    limit_connections();
}

void shard_agent::drop_idle_lanes(const shard_record& record)
{
    std::erase_if(lanes_,
                  [&](const auto& it)
                  {
                      const server_entry* server = find_server(record, it.first);
                      bool is_ours =
                          server != nullptr && server->scheduler == parts_.settings.id;
                      bool is_idle =
                          it.second->waiting() == 0 && it.second->in_flight() == 0;
                      return !is_ours && is_idle;
                  });
}

server_lane* shard_agent::lane_of(const server_id& server)
{
    auto it = lanes_.find(server);
    return it == lanes_.end() ? nullptr : it->second.get();
}

void shard_agent::carry_out(const scheduler_actions& actions)
{
    for (const scheduler_action& action : actions)
    {
        std::visit([this](const auto& it) { carry_out(it); }, action);
    }
}

void shard_agent::carry_out(const send_vouch& action)
{
    round_.begin(action.round, parts_.loop.now());
    parts_.rpc.call(action.to.peer,
                    "shard.vouch",
                    write_message(vouch_params{shard_, action.version}),
                    vouch_timeout,
                    [this, action](const rpc_result& got)
                    {
                        if (auto answer = read_answer<vouch_answer>(got))
                        {
                            vouch_answered(action, *answer);
                        }
                    });
}

void shard_agent::vouch_answered(const send_vouch& asked, const vouch_answer& answer)
{
    note_config(asked, answer);
    scheduler_actions actions;
    authority_.vouch_answered(
        asked.to.id, asked.round, answer.ok, answer.highest, parts_.loop.now(), actions);
    carry_out(actions);
    once_.set_authority(authority_.authority_until());
}

void shard_agent::note_config(const send_vouch& asked, const vouch_answer& answer)
{
    config_.version_seen(answer.config, asked.to.peer);
    const std::optional<shard_record>& record = authority_.record();
    if (!record)
    {
        return;
    }
    std::optional<config_version> highest =
        round_.answered(asked.round, asked.to.id, answer, record->voters);
    if (highest)
    {
        config_.majority_seen(round_.sent_at(), *highest);
    }
}

void shard_agent::carry_out(const send_clock& action)
{
    caller_.clock(action.address,
                  [this, action](const ownership_end& end)
                  { server_ended(action.to, action.address, action.exchange, end); });
}

void shard_agent::carry_out(const send_grant& action)
{
    caller_.grant(action.address,
                  action.message,
                  [this, action](const ownership_end& end)
                  { server_ended(action.to, action.address, action.exchange, end); });
}

void shard_agent::carry_out(const send_revoke& action)
{
    caller_.revoke(action.address,
                   action.message,
                   [this, action](const ownership_end& end)
                   { server_ended(action.to, action.address, action.exchange, end); });
}

void shard_agent::server_ended(const server_id& server,
                               const endpoint& address,
                               server_exchange_id exchange,
                               const ownership_end& end)
{
    scheduler_actions actions;
    time_point now = parts_.loop.now();
    if (end.reply)
    {
        authority_.server_answered(server, exchange, *end.reply, now, actions);
        carry_out(actions);
        return;
    }
    authority_.server_failed(server, exchange, end.is_connection_refused, now, actions);
    if (!end.is_connection_refused)
    {
        // The kept connections may have gone silent; new ones tell.
        connections_silent(address, end.sent_at);
    }
    carry_out(actions);
}

void shard_agent::connections_silent(const endpoint& address, time_point sent_before)
{
    parts_.http.drop_connections(address);
    parts_.rpc.drop_connections(address);
    const std::optional<shard_record>& record = authority_.record();
    for (const auto& [id, lane] : lanes_)
    {
        const server_entry* server = record ? find_server(*record, id) : nullptr;
        if (server != nullptr && server->address == address)
        {
            lane->resend(sent_before);
        }
    }
}

void shard_agent::carry_out(const send_report& action)
{
    std::vector<server_status> servers;
    for (const server_observation& it : action.report.servers)
    {
        servers.push_back(make_server_status(it));
    }
    std::vector<partition_traffic> load;
    if (reporter_.take_load_turn())
    {
        load = make_traffic();
    }
    reporter_.send(action.report, std::move(servers), std::move(load));
}

std::vector<partition_traffic> shard_agent::make_traffic() const
{
    std::vector<partition_traffic> made;
    for (const partition_sample& it : load_.samples(parts_.loop.now()))
    {
        partition_traffic& row = made.emplace_back();
        row.range = it.range;
        row.slot_time = span_of(it.load);
        if (it.hottest)
        {
            row.hot_keys.push_back({it.hottest->at, span_of(it.hottest->load)});
        }
    }
    return made;
}

server_status shard_agent::make_server_status(const server_observation& observed)
{
    server_status made;
    made.id = observed.id;
    made.condition = observed.condition;
    if (server_lane* lane = lane_of(observed.id))
    {
        lane_figures figures = lane->take_figures();
        made.in_flight = lane->in_flight();
        made.queued = lane->waiting();
        made.answered = figures.answered;
        made.shed = figures.shed;
        made.slot_time = figures.slot_time;
    }
    return made;
}

void shard_agent::carry_out(const fetch_record&)
{
    read_record();
}

} // namespace camphorrock
