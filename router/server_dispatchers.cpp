#include "router/server_dispatchers.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

const metric_name in_flight_metric{"camphorrock_in_flight", "Requests at a server."};
const metric_name waiting_metric{"camphorrock_waiting",
                                 "Requests that wait for a server."};

bool is_idle_dispatcher(const server_dispatcher& dispatcher)
{
    return dispatcher.waiting() == 0 && dispatcher.in_flight() == 0;
}

} // namespace

server_dispatchers::server_dispatchers(router_context& context,
                                       scheduler_authority& authority,
                                       partition_load& load,
                                       shard_id shard)
    : context_(context), authority_(authority), load_(load), shard_(std::move(shard)),
      connections_(context.http, context.control_http)
{
}

void server_dispatchers::configure(const service_config& service)
{
    bool has_other_slots = service.slots_per_server != service_.slots_per_server;
    service_ = service;
    record_changed();
    for (auto& [id, dispatcher] : dispatchers_)
    {
        if (has_other_slots)
        {
            dispatcher->set_slots(service.slots_per_server);
        }
    }
    limit_connections();
}

void server_dispatchers::record_changed()
{
    const std::optional<shard_record>& record = authority_.record();
    bool is_current = record && record->version == record_version_;
    if (!record || is_current || service_.name.empty())
    {
        return;
    }
    record_version_ = record->version;
    drop_idle(*record);
    for (const server_entry& it : record->servers)
    {
        if (it.scheduler == context_.settings.id && dispatchers_.count(it.id) == 0)
        {
            add(it);
        }
    }
    limit_connections();
}

void server_dispatchers::add(const server_entry& server)
{
    value_or_handle(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(
                dispatcher,
                server_dispatcher::create(
                    context_, authority_, load_, server.id, service_.slots_per_server));
            dispatchers_.emplace(server.id, std::move(dispatcher));
            return {};
        },
        [&](const error& ec)
        {
            context_.log.write(event_id::lane_failed,
                               {{"server", server.id}, {"fault", ec.text}});
        });
}

void server_dispatchers::drop_idle(const shard_record& record)
{
    std::erase_if(dispatchers_,
                  [&](const auto& it)
                  {
                      const server_entry* server = find_server(record, it.first);
                      bool is_scheduled_here =
                          server != nullptr && server->scheduler == context_.settings.id;
                      return !is_scheduled_here && is_idle_dispatcher(*it.second);
                  });
}

void server_dispatchers::clear()
{
    dispatchers_.clear();
    record_version_ = {};
    limit_connections();
}

void server_dispatchers::limit_connections()
{
    std::set<endpoint> addresses;
    for (const auto& [id, dispatcher] : dispatchers_)
    {
        if (const server_entry* server = entry_of(id))
        {
            addresses.insert(server->address);
        }
    }
    connections_.update(service_, addresses);
}

const server_entry* server_dispatchers::entry_of(const server_id& server) const
{
    const std::optional<shard_record>& record = authority_.record();
    return record ? find_server(*record, server) : nullptr;
}

server_dispatcher* server_dispatchers::find(const server_id& server)
{
    auto it = dispatchers_.find(server);
    return it == dispatchers_.end() ? nullptr : it->second.get();
}

void server_dispatchers::resend(const endpoint& address, time_point sent_until)
{
    for (const auto& [id, dispatcher] : dispatchers_)
    {
        const server_entry* server = entry_of(id);
        if (server != nullptr && server->address == address)
        {
            dispatcher->resend(sent_until);
        }
    }
}

bool server_dispatchers::is_idle() const
{
    return std::all_of(dispatchers_.begin(),
                       dispatchers_.end(),
                       [](const auto& it) { return is_idle_dispatcher(*it.second); });
}

server_status server_dispatchers::take_status(const server_observation& observed)
{
    server_status made;
    made.id = observed.id;
    made.condition = observed.condition;
    if (server_dispatcher* dispatcher = find(observed.id))
    {
        dispatcher_stats stats = dispatcher->take_stats();
        made.in_flight = dispatcher->in_flight();
        made.queued = dispatcher->waiting();
        made.answered = stats.answered;
        made.shed = stats.shed;
        made.slot_time = stats.slot_time;
    }
    return made;
}

void server_dispatchers::export_metrics() const
{
    for (const auto& [id, dispatcher] : dispatchers_)
    {
        metric_labels labels{{"shard", shard_.str()}, {"server", id.str()}};
        context_.metrics.get_gauge(in_flight_metric, labels)
            .set(static_cast<double>(dispatcher->in_flight()));
        context_.metrics.get_gauge(waiting_metric, labels)
            .set(static_cast<double>(dispatcher->waiting()));
    }
}

} // namespace camphorrock
