#include "router/server_lanes.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

const metric_name in_flight_metric{"camphorrock_in_flight", "Requests at a server."};
const metric_name waiting_metric{"camphorrock_waiting",
                                 "Requests that wait for a server."};

bool is_idle_lane(const server_lane& lane)
{
    return lane.waiting() == 0 && lane.in_flight() == 0;
}

} // namespace

server_lanes::server_lanes(router_parts& parts,
                           scheduler_authority& authority,
                           partition_load& load,
                           shard_id shard)
    : parts_(parts), authority_(authority), load_(load), shard_(std::move(shard)),
      connections_(parts.http, parts.control_http)
{
}

void server_lanes::configure(const service_config& service)
{
    bool has_other_slots = service.slots_per_server != service_.slots_per_server;
    service_ = service;
    record_changed();
    for (auto& [id, lane] : lanes_)
    {
        if (has_other_slots)
        {
            lane->set_slots(service.slots_per_server);
        }
    }
    limit_connections();
}

void server_lanes::record_changed()
{
    const std::optional<shard_record>& record = authority_.record();
    bool is_current = record && record->version == version_;
    if (!record || is_current || service_.name.empty())
    {
        return;
    }
    version_ = record->version;
    drop_idle(*record);
    for (const server_entry& it : record->servers)
    {
        if (it.scheduler == parts_.settings.id && lanes_.count(it.id) == 0)
        {
            add(it);
        }
    }
    limit_connections();
}

void server_lanes::add(const server_entry& server)
{
    value_or_handle(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(
                lane,
                server_lane::create(
                    parts_, authority_, load_, server.id, service_.slots_per_server));
            lanes_.emplace(server.id, std::move(lane));
            return {};
        },
        [&](const error& ec)
        {
            parts_.log.write(event_id::lane_failed,
                             {{"server", server.id}, {"fault", ec.text}});
        });
}

void server_lanes::drop_idle(const shard_record& record)
{
    std::erase_if(lanes_,
                  [&](const auto& it)
                  {
                      const server_entry* server = find_server(record, it.first);
                      bool is_ours =
                          server != nullptr && server->scheduler == parts_.settings.id;
                      return !is_ours && is_idle_lane(*it.second);
                  });
}

void server_lanes::clear()
{
    lanes_.clear();
    version_ = {};
    limit_connections();
}

void server_lanes::limit_connections()
{
    std::set<endpoint> addresses;
    for (const auto& [id, lane] : lanes_)
    {
        if (const server_entry* server = entry_of(id))
        {
            addresses.insert(server->address);
        }
    }
    connections_.update(service_, addresses);
}

const server_entry* server_lanes::entry_of(const server_id& server) const
{
    const std::optional<shard_record>& record = authority_.record();
    return record ? find_server(*record, server) : nullptr;
}

server_lane* server_lanes::find(const server_id& server)
{
    auto it = lanes_.find(server);
    return it == lanes_.end() ? nullptr : it->second.get();
}

void server_lanes::resend(const endpoint& address, time_point sent_before)
{
    for (const auto& [id, lane] : lanes_)
    {
        const server_entry* server = entry_of(id);
        if (server != nullptr && server->address == address)
        {
            lane->resend(sent_before);
        }
    }
}

bool server_lanes::is_idle() const
{
    return std::all_of(lanes_.begin(),
                       lanes_.end(),
                       [](const auto& it) { return is_idle_lane(*it.second); });
}

server_status server_lanes::take_status(const server_observation& observed)
{
    server_status made;
    made.id = observed.id;
    made.condition = observed.condition;
    if (server_lane* lane = find(observed.id))
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

void server_lanes::export_metrics() const
{
    for (const auto& [id, lane] : lanes_)
    {
        metric_labels labels{{"shard", shard_.str()}, {"server", id.str()}};
        parts_.metrics.get_gauge(in_flight_metric, labels)
            .set(static_cast<double>(lane->in_flight()));
        parts_.metrics.get_gauge(waiting_metric, labels)
            .set(static_cast<double>(lane->waiting()));
    }
}

} // namespace camphorrock
