#pragma once

// The faults that the relay brings about between two processes.

#include "core/base/time.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

enum class relay_mode
{
    pass,    // bytes go through
    cut,     // connections are reset, and new ones are refused
    stall,   // connections are accepted, and their bytes held back until the mode changes
    delay,   // bytes go through later
    silence, // the connections that exist lose all bytes for good; new ones work
};

enum class relay_direction
{
    both,
    to_target, // from who connects
    to_caller, // from the target
};

std::string_view name_of(relay_mode value);
std::string_view name_of(relay_direction value);
std::optional<relay_mode> parse_relay_mode(std::string_view name);
std::optional<relay_direction> parse_relay_direction(std::string_view name);

// What holds now. `direction` bounds stall, delay and silence. `source` bounds all of
// them to connections from one IP address; empty: from any.
struct relay_fault
{
    relay_mode mode = relay_mode::pass;
    relay_direction direction = relay_direction::both;
    duration delay{};
    std::string source{};

    // Does the fault concern bytes that go in this direction (not `both`)?
    bool applies_to(relay_direction lane) const
    {
        return direction == relay_direction::both || direction == lane;
    }
};

// The fault that a control target asks for, "/fault?mode=stall&direction=to_caller" or
// "/fault?mode=delay&delay_ms=200" or "/fault?mode=cut&source=127.0.0.2". None for
// unknown names or a delay over an hour.
std::optional<relay_fault> parse_relay_fault(std::string_view target);

} // namespace camphorrock
