#pragma once

// What a caller is told about its request, in the header Camphorrock-Outcome.

#include <optional>
#include <string_view>

namespace camphorrock
{

enum class outcome
{
    ran,     // the server's complete answer follows
    not_run, // no server has run the request or will run it
    unknown, // it may have run; a retry with the same id learns the outcome
};

// "ran", "not-run", "unknown".
std::string_view name_of(outcome value);

// The reverse of name_of.
std::optional<outcome> parse_outcome(std::string_view name);

} // namespace camphorrock
