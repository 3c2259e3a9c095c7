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
      lanes_(parts, authority_, load_, shard_)
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
    service_ = service;
    request_time_.set(service.max_request, parts_.loop.now());
    update_request_time();
    is_removed_ = false;
    if (!tick_timer_)
    {
        start();
    }
    lanes_.configure(service);
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
    server_lane* lane = permit ? lanes_.find(permit->server) : nullptr;
    if (lane == nullptr)
    {
        done({lane_verdict::not_run, {}, {refusal::no_authority, {}, {}}});
        return;
    }
    ticket id = lane->submit(request, std::move(done));
    server_id server = permit->server;
    if (!request->is_ended() && request->id.empty())
    {
        request->on_disconnect = [this, server, id]
        {
            if (server_lane* it = lanes_.find(server))
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
    return once_.is_idle() && lanes_.is_idle();
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
    request_lease_vote asked;
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
    lanes_.export_metrics();
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
    if (record && parts_.routes.update_if_newer(*record))
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
    lanes_.record_changed();
}

// Only routers that schedule servers write to journals.
void shard_agent::share_journal_writes()
{
    const fleet_config& fleet = config_.current().fleet;
    parts_.journal_writes.set_rate(fleet.store_writes_per_second,
                                   parts_.routes.scheduler_count());
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

void shard_agent::carry_out(const scheduler_actions& actions)
{
    for (const scheduler_action& action : actions)
    {
        std::visit([this](const auto& it) { carry_out(it); }, action);
    }
}

void shard_agent::carry_out(const request_lease_vote& action)
{
    round_.begin(action.round, parts_.loop.now());
    parts_.rpc.call(action.to.peer,
                    "shard.vouch",
                    write_message(lease_vote_params{shard_, action.version}),
                    vouch_timeout,
                    [this, action](const rpc_result& got)
                    {
                        if (auto answer = read_answer<lease_vote_answer>(got))
                        {
                            lease_vote_answered(action, *answer);
                        }
                    });
}

void shard_agent::lease_vote_answered(const request_lease_vote& asked,
                                      const lease_vote_answer& answer)
{
    note_config(asked, answer);
    scheduler_actions actions;
    authority_.lease_vote_answered(
        asked.to.id, asked.round, answer.ok, answer.highest, parts_.loop.now(), actions);
    carry_out(actions);
    once_.set_authority(authority_.authority_until());
}

void shard_agent::note_config(const request_lease_vote& asked,
                              const lease_vote_answer& answer)
{
    config_.on_peer_version(answer.config, asked.to.peer);
    const std::optional<shard_record>& record = authority_.record();
    if (!record)
    {
        return;
    }
    std::optional<config_version> highest =
        round_.answered(asked.round, asked.to.id, answer, record->voters);
    if (highest)
    {
        config_.on_majority_version(round_.sent_at(), *highest);
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
    lanes_.resend(address, sent_before);
}

void shard_agent::carry_out(const send_report& action)
{
    std::vector<server_status> servers;
    for (const server_observation& it : action.report.servers)
    {
        servers.push_back(lanes_.take_status(it));
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

void shard_agent::carry_out(const fetch_record&)
{
    read_record();
}

} // namespace camphorrock
