#pragma once

// Whether a caller's request ran, as reported in the header Camphorrock-Outcome.

#include <optional>
#include <string_view>

namespace camphorrock
{

enum class outcome
{
    ran,     // the request ran; the server's complete answer follows
    not_run, // no server has run the request or will run it
    unknown, // the request may have run; a retry with the same id returns the outcome
};

// Returns "ran", "not-run" or "unknown".
std::string_view name_of(outcome value);

// The inverse of name_of. Returns nullopt for any other text.
std::optional<outcome> parse_outcome(std::string_view name);

} // namespace camphorrock
