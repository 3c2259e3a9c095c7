#include "router/shard_reporter.hpp"

#include "net/rpc_answer.hpp"

namespace camphorrock
{
namespace
{

constexpr duration load_period = seconds(1);
constexpr duration report_timeout = milliseconds(400);

} // namespace

bool shard_reporter::try_start_load_period()
{
    time_point now = context_.loop.now();
    if (now < load_due_at_)
    {
        return false;
    }
    load_due_at_ = now + load_period;
    return true;
}

void shard_reporter::send(const shard_report& report,
                          std::vector<server_status> servers,
                          std::vector<partition_traffic> load)
{
    report_params params;
    params.router = context_.settings.id;
    params.peer = context_.settings.advertise;
    params.zone = context_.settings.zone;
    params.leaving = report.is_leaving;
    params.config = config_.current().version;
    params.period = context_.ownership.report_period;
    shard_status& status = params.shards.emplace_back();
    status.shard = shard_;
    status.version = report.version;
    status.servers = std::move(servers);
    status.load = std::move(load);
    for (const granted_partition& it : report.released)
    {
        status.released_partitions.push_back({it.range, it.since});
    }
    Json::Value written = write_message(params);
    if (!assigner_peer_.empty())
    {
        send_to(assigner_peer_, written);
        return;
    }
    for (const endpoint& it : context_.assigners.peers())
    {
        send_to(it, written);
    }
}

void shard_reporter::send_to(const endpoint& peer, const Json::Value& params)
{
    context_.rpc.call(peer,
                      "shard.report",
                      params,
                      report_timeout,
                      [this, peer](const rpc_result& got)
                      { on_report_ended(peer, got); });
}

void shard_reporter::on_report_ended(const endpoint& peer, const rpc_result& got)
{
    if (got.end != rpc_end::answered)
    {
        // Another assigner may be responsible for the shard now.
        if (assigner_peer_ == peer)
        {
            assigner_peer_ = {};
        }
        return;
    }
    if (auto answer = read_answer<report_answer>(got))
    {
        config_.on_peer_version(answer->config, peer);
    }
}

} // namespace camphorrock
