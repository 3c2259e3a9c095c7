#pragma once

// How much an event matters to the operator on call.

#include <optional>
#include <string_view>

namespace camphorrock
{

enum class severity
{
    debug,   // for developers; off by default
    info,    // a normal change of state
    warning, // handled by the program, but worth a look when it repeats
    error,   // the program could not do its work
};

// "debug", "info", "warning", "error".
std::string_view name_of(severity value);

// The reverse of name_of.
std::optional<severity> parse_severity(std::string_view name);

} // namespace camphorrock
