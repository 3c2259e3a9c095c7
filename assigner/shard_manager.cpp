#include "assigner/shard_manager.hpp"

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

shard_manager::shard_manager(assigner_context& context,
                             lease_keeper& lease,
                             const config_agent& config,
                             const service_config& service)
    : context_(context), config_(config), shard_(shard_of(service.name)),
      election_(
          context, lease, shard_, [this](bool is_held) { election_changed(is_held); }),
      controller_(shard_, context.settings.id, context.assignment, context.ownership),
      balancer_({}, context.random)
{
}

void shard_manager::configure(const service_config& service)
{
    if (!tick_timer_)
    {
        tick_timer_ = context_.loop.every(tick_period, [this] { tick(); });
        election_.rejoin();
    }
    service_ = service;
    recent_max_request_.set(service.max_request, context_.loop.now());
    configured_max_request_time_ = max_request_time();
    controller_.configured(view_of(service_, configured_max_request_time_),
                           context_.loop.now());
}

// Returns how long to wait for the requests that have already started. When the wait is
// over, such a request started at least this long ago. If the configuration in force is
// known to have been current then or later, the recent maximum bounds the request's
// duration. Otherwise the request may have started under a limit that this process has
// not read, and only max_request_limit bounds its duration.
duration shard_manager::max_request_time() const
{
    duration longest = recent_max_request_.at(context_.loop.now());
    return config_.is_current_within(longest) ? longest : max_request_limit;
}

void shard_manager::deactivate()
{
    tick_timer_.reset();
    election_.withdraw();
}

void shard_manager::routers_listed(const std::vector<router_instance>& routers)
{
    controller_.routers_listed(routers, context_.loop.now());
}

void shard_manager::reported(const report_params& report, const shard_status& status)
{
    balancer_.reported(status, context_.loop.now());
    router_instance router{report.router, report.peer, report.zone, report.leaving};
    controller_actions actions;
    controller_.reported(router, report_of(report, status), context_.loop.now(), actions);
    carry_out(actions);
}

void shard_manager::planned(const rebalance_plan& plan)
{
    controller_.planned(plan, context_.loop.now());
}

void shard_manager::tick()
{
    if (max_request_time() != configured_max_request_time_)
    {
        configure(service_);
    }
    rebalance();
    controller_actions actions;
    controller_.tick(context_.loop.now(), actions);
    carry_out(actions);
}

void shard_manager::rebalance()
{
    if (!election_.is_held() || !controller_.record())
    {
        return;
    }
    rebalance_plan plan =
        balancer_.plan(*controller_.record(), service_, context_.loop.now());
    if (!plan.steps.empty())
    {
        planned(plan);
    }
}

void shard_manager::election_changed(bool is_held)
{
    if (!is_held)
    {
        controller_.stepped_down(context_.loop.now());
        return;
    }
    controller_actions actions;
    balancer_.clear();
    controller_.elected(context_.loop.now(), actions);
    carry_out(actions);
}

void shard_manager::carry_out(const controller_actions& actions)
{
    for (const controller_action& action : actions)
    {
        std::visit([this](const auto& it) { carry_out(it); }, action);
    }
}

void shard_manager::carry_out(const read_record&)
{
    context_.store.get(record_key(shard_),
                       [this](const store_read& got) { read_ended(got); });
}

void shard_manager::read_ended(const store_read& got)
{
    time_point now = context_.loop.now();
    controller_actions actions;
    value_or_handle(
        [&]() -> result<void>
        {
            if (got.end != store_end::done)
            {
                return fail(error_code::unavailable, "the store did not answer");
            }
            std::optional<shard_record> record;
            stored_version_ = {};
            stored_revision_ = {};
            if (!got.entries.empty())
            {
                BOOST_LEAF_ASSIGN(record, parse_shard_record(got.entries.front().value));
                stored_version_ = record->version;
                stored_revision_ = got.entries.front().revision;
            }
            controller_.record_read(record, now, actions);
            return {};
        },
        [&](const error& ec)
        {
            if (ec.code == error_code::invalid_argument)
            {
                context_.log.write(event_id::record_unreadable,
                                   {{"shard", shard_}, {"fault", ec.text}});
            }
            controller_.read_failed(now);
        });
    carry_out(actions);
}

void shard_manager::carry_out(const write_record& action)
{
    if (action.expected != stored_version_)
    {
        // The store's revision of the expected version is unknown, so the record must be
        // read first. A conflict makes the controller read it.
        context_.loop.post(
            [this, version = action.record.version] {
                write_ended(version, store_write{store_end::conflict, {}, {}});
            });
        return;
    }
    epoch version = action.record.version;
    context_.store.compare_and_swap(record_key(shard_),
                                    stored_revision_,
                                    shard_record_text(action.record),
                                    store_lease{},
                                    [this, version](const store_write& got)
                                    { write_ended(version, got); });
}

void shard_manager::write_ended(epoch version, const store_write& got)
{
    if (got.end == store_end::done)
    {
        stored_version_ = version;
        stored_revision_ = got.revision;
        context_.log.write(event_id::record_written,
                           {{"shard", shard_}, {"epoch", version}});
    }
    if (got.end == store_end::unknown)
    {
        context_.log.write(event_id::write_ended_unknown,
                           {{"shard", shard_}, {"epoch", version}});
    }
    controller_actions actions;
    controller_.write_ended(got.end, context_.loop.now(), actions);
    log_changes();
    carry_out(actions);
}

void shard_manager::log_changes()
{
    for (const assignment_change& it : controller_.changes())
    {
        if (it.version <= logged_version_)
        {
            continue;
        }
        std::string range = it.range ? to_string(*it.range) : "";
        context_.log.write(event_id::assignment_changed,
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

void shard_manager::carry_out(const send_record& action)
{
    update_params params;
    params.record = *controller_.record();
    params.config = config_.current().version;
    params.assigner_peer = context_.settings.advertise;
    context_.rpc.call(action.peer,
                      "shard.update",
                      write_message(params),
                      update_timeout,
                      [](const rpc_result&) {});
}

void shard_manager::carry_out(const send_fence& action)
{
    fence_params params{shard_, action.version};
    context_.rpc.call(action.to.peer,
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
                                                         context_.loop.now());
                          }
                      });
}

void shard_manager::carry_out(const resign&)
{
    election_.resign(resign_pause);
}

} // namespace camphorrock
