#include "fakes/relay/relay_fault.hpp"

#include "app/query.hpp"
#include "core/base/enum_names.hpp"

namespace camphorrock
{
namespace
{

constexpr enum_names<relay_mode, 5> mode_names{{{
    {relay_mode::pass, "pass"},
    {relay_mode::cut, "cut"},
    {relay_mode::stall, "stall"},
    {relay_mode::delay, "delay"},
    {relay_mode::silence, "silence"},
}}};

constexpr enum_names<relay_direction, 3> direction_names{{{
    {relay_direction::both, "both"},
    {relay_direction::to_target, "to_target"},
    {relay_direction::to_caller, "to_caller"},
}}};

constexpr double max_delay_ms = 3600e3;

} // namespace

std::string_view name_of(relay_mode value)
{
    return mode_names.name(value);
}

std::string_view name_of(relay_direction value)
{
    return direction_names.name(value);
}

std::optional<relay_mode> parse_relay_mode(std::string_view name)
{
    return mode_names.value(name);
}

std::optional<relay_direction> parse_relay_direction(std::string_view name)
{
    return direction_names.value(name);
}

std::optional<relay_fault> parse_relay_fault(std::string_view target)
{
    std::optional<relay_mode> mode =
        parse_relay_mode(query_value(target, "mode").value_or(""));
    std::optional<relay_direction> direction = parse_relay_direction(
        query_value(target, "direction").value_or(name_of(relay_direction::both)));
    double delay_ms = query_number(target, "delay_ms").value_or(0);
    if (!mode || !direction || delay_ms > max_delay_ms)
    {
        return std::nullopt;
    }
    return relay_fault{*mode,
                       *direction,
                       milliseconds(static_cast<std::int64_t>(delay_ms)),
                       std::string(query_value(target, "source").value_or(""))};
}

} // namespace camphorrock
