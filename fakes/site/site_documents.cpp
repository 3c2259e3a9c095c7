#include "fakes/site/site_documents.hpp"

#include "codec/json_text.hpp"
#include "core/base/enum_names.hpp"

#include <json/value.h>

namespace camphorrock::fakes
{
namespace
{

constexpr enum_names<site_entry_state, 2> site_entry_state_names{{{
    {site_entry_state::ready, "ready"},
    {site_entry_state::draining, "draining"},
}}};

Json::Value route_of(const std::string& prefix,
                     const std::string& kind,
                     const char* to,
                     const site_config_options& options)
{
    Json::Value made;
    made["host"] = "camphorrock.example";
    made["prefix"] = prefix;
    made["kind"] = kind;
    made["timeout"] = "2s";
    made["target_latency"] = "500ms";
    made["max_attempts"] = options.max_attempts;
    made["service"] = to;
    return made;
}

} // namespace

std::string site_config_text(const site_config_options& options)
{
    Json::Value made;
    made["version"] = 1;
    made["routes"]["look"] = route_of("/look/", "safe", shelf_service, options);
    made["routes"]["reserve"] = route_of("/reserve/", "unsafe", shelf_service, options);
    made["services"][shelf_service]["sharded"] = false;
    if (options.has_keyed_service)
    {
        made["routes"]["visit"] = route_of("/visit/", "unsafe", diary_service, options);
        made["services"][diary_service]["sharded"] = true;
    }
    return write_json(made);
}

std::string_view name_of(site_entry_state value)
{
    return site_entry_state_names.name(value);
}

std::string site_entry_text(const site_entry& of)
{
    Json::Value made;
    made["service"] = of.service;
    made["address"] = of.address.str();
    made["zone"] = "z";
    made["slots"] = of.slots;
    made["state"] = std::string(name_of(of.state));
    made["born"] = 1;
    return write_json(made);
}

} // namespace camphorrock::fakes
