#include "ctl/fleet_status.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

bool has_older_configuration(const Json::Value& one, const Json::Value& other)
{
    return one["config_version"].asUInt64() < other["config_version"].asUInt64();
}

bool is_more_authoritative(const Json::Value& one, const Json::Value& other)
{
    bool is_held = one["held_here"].asBool();
    if (is_held != other["held_here"].asBool())
    {
        return is_held;
    }
    return is_held && one["epoch"].asUInt64() > other["epoch"].asUInt64();
}

bool is_reported_later(const Json::Value& one, const Json::Value& other)
{
    return one["heard_ms_ago"].asInt64() < other["heard_ms_ago"].asInt64();
}

void merge_shards(const Json::Value& body, Json::Value& shards)
{
    for (const std::string& name : body["shards"].getMemberNames())
    {
        const Json::Value& shard = body["shards"][name];
        if (!shards.isMember(name) || is_more_authoritative(shard, shards[name]))
        {
            shards[name] = shard;
            shards[name]["seen_by"] = body["assigner"];
        }
    }
}

void merge_routers(const Json::Value& body, Json::Value& routers)
{
    for (const std::string& name : body["routers"].getMemberNames())
    {
        const Json::Value& router = body["routers"][name];
        if (!routers.isMember(name) || is_reported_later(router, routers[name]))
        {
            routers[name] = router;
        }
    }
}

Json::Value lagging_routers(const Json::Value& routers, std::uint64_t version)
{
    Json::Value lagging(Json::arrayValue);
    for (const std::string& name : routers.getMemberNames())
    {
        if (routers[name]["config_version"].asUInt64() < version)
        {
            lagging.append(name);
        }
    }
    return lagging;
}

} // namespace

Json::Value merge_status(const std::vector<Json::Value>& bodies)
{
    Json::Value merged =
        *std::max_element(bodies.begin(), bodies.end(), has_older_configuration);
    merged["shards"] = Json::Value(Json::objectValue);
    merged["routers"] = Json::Value(Json::objectValue);
    for (const Json::Value& it : bodies)
    {
        merge_shards(it, merged["shards"]);
        merge_routers(it, merged["routers"]);
    }
    merged["lagging"] =
        lagging_routers(merged["routers"], merged["config_version"].asUInt64());
    return merged;
}

} // namespace camphorrock
