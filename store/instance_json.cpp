#include "store/instance_json.hpp"

#include "core/base/enum_names.hpp"

#include <string>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr enum_names<instance_role, 2> role_names{{{
    {instance_role::router, "router"},
    {instance_role::assigner, "assigner"},
}}};

constexpr enum_names<instance_state, 2> state_names{{{
    {instance_state::live, "live"},
    {instance_state::leaving, "leaving"},
}}};

// Returns "" if the member is not a string; no member of a valid entry is empty.
std::string text_of(const Json::Value& value, const char* member)
{
    return value[member].isString() ? value[member].asString() : std::string();
}

} // namespace

std::string_view name_of(instance_role value)
{
    return role_names.name(value);
}

std::string_view name_of(instance_state value)
{
    return state_names.name(value);
}

Json::Value to_json(const instance_entry& entry)
{
    Json::Value made(Json::objectValue);
    made["id"] = entry.id.str();
    made["role"] = std::string(name_of(entry.role));
    made["data_centre"] = entry.zone.str();
    made["peer"] = entry.peer.str();
    made["state"] = std::string(name_of(entry.state));
    return made;
}

std::optional<instance_entry> read_instance(const Json::Value& value)
{
    if (!value.isObject())
    {
        return std::nullopt;
    }
    instance_entry made;
    made.id = instance_id(text_of(value, "id"));
    made.zone = data_centre(text_of(value, "data_centre"));
    made.peer = endpoint(text_of(value, "peer"));
    const std::optional<instance_role> role = role_names.value(text_of(value, "role"));
    const std::optional<instance_state> state =
        state_names.value(text_of(value, "state"));
    if (made.id.empty() || made.zone.empty() || made.peer.empty() || !role || !state)
    {
        return std::nullopt;
    }
    made.role = *role;
    made.state = *state;
    return made;
}

std::optional<std::vector<instance_entry>> read_instances(const Json::Value& value)
{
    if (!value.isArray())
    {
        return std::nullopt;
    }
    std::vector<instance_entry> made;
    for (const Json::Value& it : value)
    {
        std::optional<instance_entry> entry = read_instance(it);
        if (!entry)
        {
            return std::nullopt;
        }
        made.push_back(std::move(*entry));
    }
    return made;
}

} // namespace camphorrock
