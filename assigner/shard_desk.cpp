#include "assigner/shard_desk.hpp"

#include "codec/shard_record_json.hpp"
#include "core/ownership/record_keys.hpp"
#include "net/rpc_answer.hpp"

namespace camphorrock
{
namespace
{

constexpr duration tick_period = milliseconds(25);
constexpr duration update_timeout = milliseconds(500);
constexpr duration fence_timeout = milliseconds(400);
constexpr duration resign_pause = seconds(2);

service_view view_of(const service_config& service, duration max_request_time)
{
    service_view view;
    view.partition_count = service.partitions;
    view.max_request_time = max_request_time;
    for (const server_config& it : service.servers)
    {
        view.servers.push_back({it.id, it.address, it.zone, it.checks_epoch, it.drain});
    }
    return view;
}

shard_report report_of(const report_params& report, const shard_status& status)
{
    shard_report made;
    made.router = report.router;
    made.version = status.version;
    made.is_leaving = report.leaving;
    for (const server_status& it : status.servers)
    {
        made.servers.push_back({it.id, it.condition});
    }
    for (const released_partition& it : status.released_partitions)
    {
        made.released.push_back({it.range, it.since});
    }
    return made;
}

} // namespace

shard_desk::shard_desk(assigner_parts& parts,
                       lease_keeper& lease,
                       const config_agent& config,
                       const service_config& service)
    : parts_(parts), config_(config), shard_(shard_of(service.name)),
      election_(
          parts, lease, shard_, [this](bool is_held) { election_changed(is_held); }),
      controller_(shard_, parts.settings.id, parts.assignment, parts.ownership),
      balance_({}, parts.random)
{
}

void shard_desk::configure(const service_config& service)
{
    if (!tick_timer_)
    {
        tick_timer_ = parts_.loop.every(tick_period, [this] { tick(); });
        election_.stand_again();
    }
    service_ = service;
    request_time_.set(service.max_request, parts_.loop.now());
    view_request_time_ = longest_request();
    controller_.configured(view_of(service_, view_request_time_), parts_.loop.now());
}

// A request that is waited for as long as this was begun that long ago or earlier. Unless
// the configuration is known to have been current since, it may be of any length.
duration shard_desk::longest_request() const
{
    duration longest = request_time_.at(parts_.loop.now());
    return config_.is_current_within(longest) ? longest : max_request_limit;
}

void shard_desk::remove()
{
    tick_timer_.reset();
    election_.stand_down();
}

void shard_desk::routers_listed(const std::vector<router_instance>& routers)
{
    controller_.routers_listed(routers, parts_.loop.now());
}

void shard_desk::reported(const report_params& report, const shard_status& status)
{
    balance_.reported(status, parts_.loop.now());
    router_instance router{report.router, report.peer, report.zone, report.leaving};
    controller_actions actions;
    controller_.reported(router, report_of(report, status), parts_.loop.now(), actions);
    carry_out(actions);
}

void shard_desk::planned(const rebalance_plan& plan)
{
    controller_.planned(plan, parts_.loop.now());
}

void shard_desk::tick()
{
    if (longest_request() != view_request_time_)
    {
        configure(service_);
    }
    rebalance();
    controller_actions actions;
    controller_.tick(parts_.loop.now(), actions);
    carry_out(actions);
}

void shard_desk::rebalance()
{
    if (!election_.is_held() || !controller_.record())
    {
        return;
    }
    rebalance_plan plan =
        balance_.plan(*controller_.record(), service_, parts_.loop.now());
    if (!plan.steps.empty())
    {
        planned(plan);
    }
}

void shard_desk::election_changed(bool is_held)
{
    if (!is_held)
    {
        controller_.stepped_down(parts_.loop.now());
        return;
    }
    controller_actions actions;
    balance_.clear();
    controller_.elected(parts_.loop.now(), actions);
    carry_out(actions);
}

void shard_desk::carry_out(const controller_actions& actions)
{
    for (const controller_action& action : actions)
    {
        std::visit([this](const auto& it) { carry_out(it); }, action);
    }
}

void shard_desk::carry_out(const read_record&)
{
    parts_.store.get(record_key(shard_),
                     [this](const store_read& got) { read_ended(got); });
}

void shard_desk::read_ended(const store_read& got)
{
    time_point now = parts_.loop.now();
    controller_actions actions;
    value_or_handle(
        [&]() -> result<void>
        {
            if (got.end != store_end::done)
            {
                return fail(error_code::unavailable, "the store did not answer");
            }
            std::optional<shard_record> record;
            known_version_ = {};
            known_revision_ = {};
            if (!got.entries.empty())
            {
                BOOST_LEAF_ASSIGN(record, parse_shard_record(got.entries.front().value));
                known_version_ = record->version;
                known_revision_ = got.entries.front().revision;
            }
            controller_.record_read(record, now, actions);
            return {};
        },
        [&](const error& ec)
        {
            if (ec.code == error_code::invalid_argument)
            {
                parts_.log.write(event_id::record_unreadable,
                                 {{"shard", shard_}, {"fault", ec.text}});
            }
            controller_.read_failed(now);
        });
    carry_out(actions);
}

void shard_desk::carry_out(const write_record& action)
{
    if (action.expected != known_version_)
    {
        // The store's revision of that version is not known here, so it must be read
        // first.
        parts_.loop.post(
            [this, version = action.record.version] {
                write_ended(version, store_write{store_end::conflict, {}, {}});
            });
        return;
    }
    epoch version = action.record.version;
    parts_.store.compare_and_swap(record_key(shard_),
                                  known_revision_,
                                  shard_record_text(action.record),
                                  store_lease{},
                                  [this, version](const store_write& got)
                                  { write_ended(version, got); });
}

void shard_desk::write_ended(epoch version, const store_write& got)
{
    if (got.end == store_end::done)
    {
        known_version_ = version;
        known_revision_ = got.revision;
        parts_.log.write(event_id::record_written,
                         {{"shard", shard_}, {"epoch", version}});
    }
    if (got.end == store_end::unknown)
    {
        parts_.log.write(event_id::write_ended_unknown,
                         {{"shard", shard_}, {"epoch", version}});
    }
    controller_actions actions;
    controller_.write_ended(got.end, parts_.loop.now(), actions);
    log_changes();
    carry_out(actions);
}

void shard_desk::log_changes()
{
    for (const assignment_change& it : controller_.changes())
    {
        if (it.version <= logged_version_)
        {
            continue;
        }
        std::string range = it.range ? to_string(*it.range) : "";
        parts_.log.write(event_id::assignment_changed,
                         {{"shard", shard_},
                          {"epoch", it.version},
                          {"kind", name_of(it.kind)},
                          {"range", range},
                          {"server", it.server},
                          {"reason", it.reason}});
    }
    if (!controller_.changes().empty())
    {
        logged_version_ = controller_.changes().back().version;
    }
}

void shard_desk::carry_out(const send_record& action)
{
    update_params params;
    params.record = *controller_.record();
    params.config = config_.current().version;
    params.assigner_peer = parts_.settings.advertise;
    parts_.rpc.call(action.peer,
                    "shard.update",
                    write_message(params),
                    update_timeout,
                    [](const rpc_result&) {});
}

void shard_desk::carry_out(const send_fence& action)
{
    fence_params params{shard_, action.version};
    parts_.rpc.call(action.to.peer,
                    "shard.fence",
                    write_message(params),
                    fence_timeout,
                    [this, action](const rpc_result& got)
                    {
                        if (auto answer = read_answer<fence_answer>(got))
                        {
                            controller_.fence_answered(action.to.id,
                                                       action.version,
                                                       answer->ok,
                                                       answer->highest,
                                                       answer->fenced_for,
                                                       parts_.loop.now());
                        }
                    });
}

void shard_desk::carry_out(const resign&)
{
    election_.resign(resign_pause);
}

} // namespace camphorrock
