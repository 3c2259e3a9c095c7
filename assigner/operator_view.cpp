#include "assigner/operator_view.hpp"

#include "core/ownership/record_keys.hpp"

namespace camphorrock
{
namespace
{

Json::Int64 age_ms(time_point now, time_point at)
{
    return std::chrono::duration_cast<milliseconds>(now - at).count();
}

Json::UInt64 to_json(std::uint64_t value)
{
    return value;
}

std::size_t count_unowned(const shard_record& record)
{
    return static_cast<std::size_t>(std::count_if(record.partitions.begin(),
                                                  record.partitions.end(),
                                                  [](const partition_entry& it)
                                                  { return it.owner.empty(); }));
}

Json::Value describe_shard(const shard_manager& manager)
{
    Json::Value out(Json::objectValue);
    bool is_held = manager.election().is_held();
    out["held_here"] = is_held;
    out["holder"] = manager.election().holder().str();
    const std::optional<shard_record>& record = manager.controller().record();
    if (!is_held || !record)
    {
        return out;
    }
    out["epoch"] = to_json(record->version.value);
    out["partitions"] = to_json(record->partitions.size());
    out["unowned"] = to_json(count_unowned(*record));
    out["imbalance"] = manager.balancer().last_imbalance();
    for (const server_entry& it : record->servers)
    {
        out["servers"][it.id.str()]["scheduler"] = it.scheduler.str();
        out["servers"][it.id.str()]["endpoint"] = it.address.str();
    }
    for (const voter_entry& it : record->voters)
    {
        out["voters"].append(it.id.str());
    }
    return out;
}

Json::Value describe_change(const assignment_change& change, time_point now)
{
    Json::Value out(Json::objectValue);
    out["epoch"] = to_json(change.version.value);
    out["age_ms"] = age_ms(now, change.at);
    out["kind"] = std::string(name_of(change.kind));
    out["server"] = change.server.str();
    out["reason"] = change.reason;
    if (change.range)
    {
        out["range"] = to_string(*change.range);
    }
    return out;
}

bool concerns(const assignment_change& change, const partition_entry& partition)
{
    bool range_overlaps = change.range && change.range->overlaps(partition.range);
    bool owner_matches = !change.range && change.server == partition.owner;
    return range_overlaps || owner_matches;
}

Json::Value describe_partition(const shard_record& record,
                               const partition_entry& partition)
{
    Json::Value out(Json::objectValue);
    out["partition"] = to_string(partition.range);
    out["owner"] = partition.owner.str();
    out["epoch"] = to_json(partition.since.value);
    out["moving_to"] = partition.moving_to.str();
    if (const server_entry* server = find_server(record, partition.owner))
    {
        out["endpoint"] = server->address.str();
        out["checks_epoch"] = server->checks_epoch;
        out["scheduler"] = server->scheduler.str();
        out["scheduler_epoch"] = to_json(server->since.value);
    }
    return out;
}

// Returns the manager of the service's shard. Fails with not_found for an unknown
// service, and with refused if this assigner does not hold the shard or has not read its
// record.
result<shard_manager*> find_held_shard(const fleet_view& fleet,
                                       const service_name& service)
{
    auto it = fleet.shards.find(shard_of(service));
    if (it == fleet.shards.end())
    {
        return fail(error_code::not_found, "no service " + service.str());
    }
    shard_manager& manager = *it->second;
    if (!manager.election().is_held() || !manager.controller().record())
    {
        return fail(error_code::refused, "held by " + manager.election().holder().str());
    }
    return &manager;
}

} // namespace

Json::Value make_status(const fleet_view& fleet)
{
    Json::Value out(Json::objectValue);
    out["assigner"] = fleet.self.str();
    out["config_version"] = to_json(fleet.config.version.value);
    out["shards"] = Json::Value(Json::objectValue);
    for (const auto& [id, manager] : fleet.shards)
    {
        out["shards"][id.str()] = describe_shard(*manager);
    }
    out["routers"] = Json::Value(Json::objectValue);
    out["lagging"] = Json::Value(Json::arrayValue);
    for (const auto& [id, report] : fleet.routers)
    {
        Json::Value& row = out["routers"][id.str()];
        row["data_centre"] = report.zone.str();
        row["peer"] = report.peer.str();
        row["config_version"] = to_json(report.config.value);
        row["heard_ms_ago"] = age_ms(fleet.now, report.received_at);
        row["leaving"] = report.is_leaving;
        if (report.config < fleet.config.version)
        {
            out["lagging"].append(id.str());
        }
    }
    return out;
}

result<Json::Value> make_explanation(const fleet_view& fleet,
                                     const service_name& service,
                                     const std::string& key)
{
    BOOST_LEAF_AUTO(manager, find_held_shard(fleet, service));
    const std::optional<shard_record>& record = manager->controller().record();
    const partition_entry* partition = find_partition(*record, hash_key(key));
    if (partition == nullptr)
    {
        return fail(error_code::not_found, "the shard has no partitions yet");
    }
    Json::Value out = describe_partition(*record, *partition);
    out["service"] = service.str();
    out["key"] = key;
    out["assigner"] = fleet.self.str();
    out["record_epoch"] = to_json(record->version.value);
    out["changes"] = Json::Value(Json::arrayValue);
    for (const assignment_change& change : manager->controller().changes())
    {
        if (concerns(change, *partition))
        {
            out["changes"].append(describe_change(change, fleet.now));
        }
    }
    return out;
}

result<void> move_key(const fleet_view& fleet,
                      const service_name& service,
                      const std::string& key,
                      const server_id& to)
{
    BOOST_LEAF_AUTO(manager, find_held_shard(fleet, service));
    if (find_server(*manager->controller().record(), to) == nullptr)
    {
        return fail(error_code::invalid_argument,
                    "the record names no server " + to.str());
    }
    key_hash at = hash_key(key);
    rebalance_plan plan;
    plan.reason = "an operator moves " + key;
    plan.steps.emplace_back(split_step{at});
    if (at != hash_range().last)
    {
        plan.steps.emplace_back(split_step{key_hash{at.value + 1}});
    }
    plan.steps.emplace_back(move_step{{at, at}, to});
    manager->planned(plan);
    return {};
}

} // namespace camphorrock
