#include "codec/configuration_json.hpp"

#include "codec/json_reader.hpp"
#include "codec/json_text.hpp"
#include "codec/json_writer.hpp"

namespace camphorrock
{

template<class Fields, is_type<applied_patch> Patch>
void describe(Fields& fields, Patch& it)
{
    fields.required("id", it.id);
    fields.required("version", it.version);
}

template<class Fields, is_type<fleet_config> Fleet>
void describe(Fields& fields, Fleet& it)
{
    fields.optional("journal_retention_ms", it.journal_retention);
    fields.optional("store_writes_per_second", it.store_writes_per_second);
}

template<class Fields, is_type<route_pattern> Route>
void describe(Fields& fields, Route& it)
{
    fields.required("method", it.method);
    fields.required("prefix", it.prefix);
}

template<class Fields, is_type<server_config> Server>
void describe(Fields& fields, Server& it)
{
    fields.required("endpoint", it.address);
    fields.optional("data_centre", it.zone);
    fields.optional("checks_epoch", it.checks_epoch);
    fields.optional("drain", it.drain);
}

template<class Fields, is_type<service_config> Service>
void describe(Fields& fields, Service& it)
{
    fields.keyed("servers", it.servers, &server_config::id);
    fields.optional("slots_per_server", it.slots_per_server);
    fields.optional("connections_per_server", it.connections_per_server);
    fields.optional("partitions", it.partitions);
    fields.optional("balance", it.balance);
    fields.optional("repeatable_routes", it.repeatable_routes);
    fields.optional("long_routes", it.long_routes);
    fields.optional("servers_deduplicate", it.servers_deduplicate);
    fields.optional("max_request_ms", it.max_request);
    fields.optional("retry_percent", it.retry_percent);
}

template<class Fields, is_type<configuration> Config>
void describe(Fields& fields, Config& it)
{
    fields.required("version", it.version);
    fields.optional("patches", it.patches);
    fields.optional("fleet", it.fleet);
    fields.keyed("services", it.services, &service_config::name);
}

Json::Value write_configuration(const configuration& config)
{
    return write_described(config);
}

result<configuration> read_configuration(const Json::Value& value)
{
    BOOST_LEAF_AUTO(config, read_described<configuration>(value));
    BOOST_LEAF_CHECK(validate(config));
    return config;
}

std::string configuration_text(const configuration& config)
{
    return write_json(write_configuration(config));
}

result<configuration> parse_configuration(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parse_json(text));
    return read_configuration(value);
}

} // namespace camphorrock
