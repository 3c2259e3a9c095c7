#include "core/gateway/config/gateway_config.hpp"

#include "core/base/enum_names.hpp"

namespace camphorrock
{
namespace
{

constexpr enum_names<config_part, 3> names{{{
    {config_part::route, "route"},
    {config_part::service, "service"},
    {config_part::limits, "limits"},
}}};

} // namespace

std::string_view name_of(config_part value)
{
    return names.name(value);
}

} // namespace camphorrock
