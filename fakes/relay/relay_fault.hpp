#pragma once

// The faults that the relay injects between two processes.

#include "core/base/time.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

enum class relay_mode
{
    pass,    // bytes are forwarded
    cut,     // connections are reset, and new ones are refused
    stall,   // connections are accepted; their bytes are held until the mode changes
    delay,   // bytes are forwarded after a delay
    silence, // existing connections discard all bytes from now on; new ones work
};

enum class relay_direction
{
    both,
    to_target, // from the process that connects
    to_caller, // from the target
};

std::string_view name_of(relay_mode value);
std::string_view name_of(relay_direction value);
std::optional<relay_mode> parse_relay_mode(std::string_view name);
std::optional<relay_direction> parse_relay_direction(std::string_view name);

// A fault in force. `direction` restricts stall, delay and silence; cut ignores it.
// `source` restricts any mode to connections from one IP address; empty: from any.
struct relay_fault
{
    relay_mode mode = relay_mode::pass;
    relay_direction direction = relay_direction::both;
    duration delay{}; // for relay_mode::delay
    std::string source{};

    // Returns true if the fault affects bytes in this direction, which is not `both`.
    bool applies_to(relay_direction stream_direction) const
    {
        return direction == relay_direction::both || direction == stream_direction;
    }
};

// Parses a control target, such as "/fault?mode=stall&direction=to_caller",
// "/fault?mode=delay&delay_ms=200" or "/fault?mode=cut&source=127.0.0.2". Returns nullopt
// for an absent or unknown mode, an unknown direction, or a delay of more than an hour.
std::optional<relay_fault> parse_relay_fault(std::string_view target);

} // namespace camphorrock
