#include "app/severity.hpp"

#include "core/base/enum_names.hpp"

namespace camphorrock
{
namespace
{

constexpr enum_names<severity, 4> names{{{
    {severity::debug, "debug"},
    {severity::info, "info"},
    {severity::warning, "warning"},
    {severity::error, "error"},
}}};

} // namespace

std::string_view name_of(severity value)
{
    return names.name(value);
}

std::optional<severity> parse_severity(std::string_view name)
{
    return names.value(name);
}

} // namespace camphorrock
