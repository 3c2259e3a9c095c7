#pragma once

// The severity of a log event, by what it means to the operator on call.

#include <optional>
#include <string_view>

namespace camphorrock
{

enum class severity
{
    debug,   // for developers; off by default
    info,    // a normal change of state
    warning, // handled by the program; to be examined if it repeats
    error,   // the program could not do its task
};

// "debug", "info", "warning", "error".
std::string_view name_of(severity value);

// The inverse of name_of; nullopt for any other text.
std::optional<severity> parse_severity(std::string_view name);

} // namespace camphorrock
