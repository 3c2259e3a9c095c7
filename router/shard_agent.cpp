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

// Rounds that only query configuration versions have numbers that the authority never
// uses.
constexpr std::uint64_t first_query_round = std::uint64_t(1) << 62;
constexpr duration query_round_period = seconds(2);

constexpr duration tick_period = milliseconds(20);
constexpr duration record_read_period = seconds(60);
constexpr duration record_retry_period = seconds(1);
constexpr duration lease_vote_timeout = milliseconds(400);

// Converts a load in slot seconds per second to the slot time used per second.
duration slot_time_of(double load)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(load));
}

} // namespace

shard_agent::shard_agent(router_context& context,
                         config_agent& config,
                         voter& votes,
                         journal_lease& lease,
                         const service_config& service)
    : context_(context), config_(config), voter_(votes), shard_(shard_of(service.name)),
      recent_max_request_({}),
      authority_(shard_, context.settings.id, context.ownership, context.loop.now()),
      once_(context,
            lease,
            shard_,
            [this](const live_request_ptr& request, server_dispatcher::callback done)
            { dispatch(request, std::move(done)); }),
      ownership_client_(context.loop,
                        context.rpc,
                        shard_,
                        [this](const endpoint& address, time_point sent_until)
                        { on_connections_unresponsive(address, sent_until); }),
      reporter_(context, config, shard_), load_({}),
      dispatchers_(context, authority_, load_, shard_)
{
    recent_max_request_.set(service.max_request, context_.loop.now());
    update_max_request_time();
    start();
}

void shard_agent::start()
{
    tick_timer_ = context_.loop.every(tick_period, [this] { tick(); });
    read_record();
}

void shard_agent::remove()
{
    is_removed_ = true;
}

// Grants are not revoked but expire. A later start() has the same effect as the end of a
// long pause of the process.
void shard_agent::stop()
{
    tick_timer_.reset();
    read_timer_.reset();
    once_.release_all();
    dispatchers_.clear();
}

void shard_agent::configure(const service_config& service, const fleet_config& fleet)
{
    update_journal_write_rate();
    once_.configure(service, fleet);
    if (authority_.record())
    {
        once_.set_authority(authority_.authority_until());
        once_.record_changed(*authority_.record());
    }
    service_ = service;
    recent_max_request_.set(service.max_request, context_.loop.now());
    update_max_request_time();
    is_removed_ = false;
    if (!tick_timer_)
    {
        start();
    }
    dispatchers_.configure(service);
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
        std::min(request->deadline, context_.loop.now() + service_.max_request);
    if (!request->id.empty())
    {
        submit_once(request);
        return;
    }
    dispatch(request,
             [request](dispatch_result got)
             {
                 if (got.end == dispatch_end::answered)
                 {
                     request->answer(std::move(got.answer));
                     return;
                 }
                 request->refuse(got.why);
             });
}

void shard_agent::submit_once(const live_request_ptr& request)
{
    const partition_entry* partition =
        find_partition(*authority_.record(), request->target.hash);
    once_.submit(request, partition->since);
}

void shard_agent::dispatch(const live_request_ptr& request,
                           server_dispatcher::callback done)
{
    std::optional<request_permit> permit =
        authority_.permit(request->target.hash, context_.loop.now());
    server_dispatcher* dispatcher = permit ? dispatchers_.find(permit->server) : nullptr;
    if (dispatcher == nullptr)
    {
        done({dispatch_end::not_run, {}, {refusal::no_authority, {}, {}}});
        return;
    }
    ticket id = dispatcher->submit(request, std::move(done));
    server_id server = permit->server;
    if (!request->is_ended() && request->id.empty())
    {
        request->on_caller_disconnect = [this, server, id]
        {
            if (server_dispatcher* it = dispatchers_.find(server))
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
    reporter_.set_assigner(peer);
    scheduler_actions actions;
    authority_.record_received(record, context_.loop.now(), actions);
    apply_record();
    carry_out(actions);
}

void shard_agent::announce_leaving()
{
    scheduler_actions actions;
    authority_.leave(context_.loop.now(), actions);
    carry_out(actions);
}

bool shard_agent::is_drained() const
{
    return once_.is_idle() && dispatchers_.is_idle();
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
                        { return it.scheduler == context_.settings.id; });
}

// Sets the longest time that a request in flight may still run. A request that has run
// for that long started at least as long ago. If the configuration in force is known to
// have been current then or later, the recent maximum bounds the request's duration.
// Otherwise the request may have started under a limit that this router has not read, and
// only max_request_limit bounds its duration.
void shard_agent::update_max_request_time()
{
    duration longest = recent_max_request_.at(context_.loop.now());
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
    update_max_request_time();
    scheduler_actions actions;
    authority_.tick(context_.loop.now(), actions);
    carry_out(actions);
    log_authority_change();
    query_voters();
}

void shard_agent::log_authority_change()
{
    bool has_authority = authority_.holds_authority(context_.loop.now());
    if (has_authority == had_authority_)
    {
        return;
    }
    had_authority_ = has_authority;
    event_id id = has_authority ? event_id::authority_gained : event_id::authority_lost;
    context_.log.write(id, {{"shard", shard_}});
}

// A router that schedules no server of the shard starts no lease vote rounds. It needs
// the voters' answers nevertheless, to know that its configuration is current while the
// store is unavailable.
void shard_agent::query_voters()
{
    const std::optional<shard_record>& record = authority_.record();
    if (!record ||
        context_.loop.now() - config_version_round_.sent_at() < query_round_period)
    {
        return;
    }
    request_lease_vote vote_request;
    vote_request.round = first_query_round + ++query_rounds_;
    vote_request.version = record->version;
    for (const voter_entry& it : record->voters)
    {
        vote_request.to = it;
        carry_out(vote_request);
    }
}

void shard_agent::export_metrics() const
{
    const std::string shard = shard_.str();
    double epoch =
        authority_.record() ? static_cast<double>(authority_.record()->version.value) : 0;
    context_.metrics.get_gauge(epoch_metric, {{"shard", shard}}).set(epoch);
    context_.metrics.get_gauge(authority_metric, {{"shard", shard}})
        .set(authority_.holds_authority(context_.loop.now()) ? 1 : 0);
    context_.metrics.get_gauge(ids_metric, {{"shard", shard}})
        .set(static_cast<double>(once_.remembered_ids()));
    dispatchers_.export_metrics();
}

void shard_agent::read_record()
{
    if (is_reading_record_)
    {
        return;
    }
    is_reading_record_ = true;
    time_point begun_at = context_.loop.now();
    context_.store.get(
        record_key(shard_),
        [this, begun_at](const store_read& got)
        {
            is_reading_record_ = false;
            if (!tick_timer_)
            {
                return;
            }
            bool is_done = got.end == store_end::done;
            duration next = is_done && !got.entries.empty() ? record_read_period
                                                            : record_retry_period;
            read_timer_ = context_.loop.after(next, [this] { read_record(); });
            if (!is_done)
            {
                return;
            }
            time_point now = context_.loop.now();
            if (got.entries.empty())
            {
                voter_.store_read(shard_, epoch{}, begun_at, now);
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
                    voter_.store_read(shard_, record.version, begun_at, now);
                    scheduler_actions actions;
                    authority_.store_read(record, begun_at, now, actions);
                    apply_record();
                    carry_out(actions);
                    return {};
                },
                [&](const error& ec)
                {
                    context_.log.write(event_id::record_unreadable,
                                       {{"shard", shard_}, {"fault", ec.text}});
                });
        });
}

void shard_agent::apply_record()
{
    const std::optional<shard_record>& record = authority_.record();
    if (record && context_.routes.update_if_newer(*record))
    {
        context_.log.write(event_id::record_adopted,
                           {{"shard", shard_},
                            {"epoch", record->version},
                            {"assigner", record->assigner}});
        update_journal_write_rate();
        once_.set_authority(authority_.authority_until());
        once_.record_changed(*record);
        set_measured_partitions(*record);
    }
    dispatchers_.record_changed();
}

// The fleet's rate is divided among the routers that schedule servers, since only these
// write to journals.
void shard_agent::update_journal_write_rate()
{
    const fleet_config& fleet = config_.current().fleet;
    context_.journal_writes.set_rate(fleet.store_writes_per_second,
                                     context_.routes.scheduler_count());
}

void shard_agent::set_measured_partitions(const shard_record& record)
{
    std::vector<hash_range> ranges;
    for (const partition_entry& it : record.partitions)
    {
        const server_entry* owner = find_server(record, it.owner);
        if (owner != nullptr && owner->scheduler == context_.settings.id)
        {
            ranges.push_back(it.range);
        }
    }
    load_.set_partitions(ranges, context_.loop.now());
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
    config_version_round_.begin(action.round, context_.loop.now());
    context_.rpc.call(action.to.peer,
                      "shard.vouch",
                      write_message(lease_vote_params{shard_, action.version}),
                      lease_vote_timeout,
                      [this, action](const rpc_result& got)
                      {
                          if (auto answer = read_answer<lease_vote_answer>(got))
                          {
                              lease_vote_answered(action, *answer);
                          }
                      });
}

void shard_agent::lease_vote_answered(const request_lease_vote& vote_request,
                                      const lease_vote_answer& answer)
{
    note_config_version(vote_request, answer);
    scheduler_actions actions;
    authority_.lease_vote_answered(vote_request.to.id,
                                   vote_request.round,
                                   answer.ok,
                                   answer.highest,
                                   context_.loop.now(),
                                   actions);
    carry_out(actions);
    once_.set_authority(authority_.authority_until());
}

void shard_agent::note_config_version(const request_lease_vote& vote_request,
                                      const lease_vote_answer& answer)
{
    config_.on_peer_version(answer.config, vote_request.to.peer);
    const std::optional<shard_record>& record = authority_.record();
    if (!record)
    {
        return;
    }
    std::optional<config_version> highest = config_version_round_.on_answer(
        vote_request.round, vote_request.to.id, answer, record->voters);
    if (highest)
    {
        config_.on_majority_version(config_version_round_.sent_at(), *highest);
    }
}

void shard_agent::carry_out(const send_clock& action)
{
    ownership_client_.get_clock(action.address,
                                [this, action](const ownership_call_result& call_result) {
                                    on_ownership_call_ended(action.to,
                                                            action.address,
                                                            action.exchange,
                                                            call_result);
                                });
}

void shard_agent::carry_out(const send_grant& action)
{
    ownership_client_.grant(action.address,
                            action.message,
                            [this, action](const ownership_call_result& call_result) {
                                on_ownership_call_ended(action.to,
                                                        action.address,
                                                        action.exchange,
                                                        call_result);
                            });
}

void shard_agent::carry_out(const send_revoke& action)
{
    ownership_client_.revoke(action.address,
                             action.message,
                             [this, action](const ownership_call_result& call_result) {
                                 on_ownership_call_ended(action.to,
                                                         action.address,
                                                         action.exchange,
                                                         call_result);
                             });
}

void shard_agent::on_ownership_call_ended(const server_id& server,
                                          const endpoint& address,
                                          server_exchange_id exchange,
                                          const ownership_call_result& call_result)
{
    scheduler_actions actions;
    time_point now = context_.loop.now();
    if (call_result.reply)
    {
        authority_.server_answered(server, exchange, *call_result.reply, now, actions);
        carry_out(actions);
        return;
    }
    authority_.server_failed(
        server, exchange, call_result.is_connection_refused, now, actions);
    if (!call_result.is_connection_refused)
    {
        // The pooled connections may be unresponsive; new connections show whether the
        // server itself is.
        on_connections_unresponsive(address, call_result.sent_at);
    }
    carry_out(actions);
}

void shard_agent::on_connections_unresponsive(const endpoint& address,
                                              time_point sent_until)
{
    context_.http.drop_connections(address);
    context_.rpc.drop_connections(address);
    dispatchers_.resend(address, sent_until);
}

void shard_agent::carry_out(const send_report& action)
{
    std::vector<server_status> servers;
    for (const server_observation& it : action.report.servers)
    {
        servers.push_back(dispatchers_.take_status(it));
    }
    std::vector<partition_traffic> load;
    if (reporter_.try_start_load_period())
    {
        load = make_traffic();
    }
    reporter_.send(action.report, std::move(servers), std::move(load));
}

std::vector<partition_traffic> shard_agent::make_traffic() const
{
    std::vector<partition_traffic> made;
    for (const partition_sample& it : load_.samples(context_.loop.now()))
    {
        partition_traffic& row = made.emplace_back();
        row.range = it.range;
        row.slot_time = slot_time_of(it.load);
        if (it.hottest)
        {
            row.hot_keys.push_back({it.hottest->at, slot_time_of(it.hottest->load)});
        }
    }
    return made;
}

void shard_agent::carry_out(const fetch_record&)
{
    read_record();
}

} // namespace camphorrock
