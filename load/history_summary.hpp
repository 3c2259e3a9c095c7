#pragma once

// Counts of the records in a history, for the report of camphorrock-check.

#include <cstddef>
#include <string>

namespace camphorrock
{

struct history_summary
{
    std::size_t attempts = 0;
    std::size_t answered = 0; // attempts; likewise ran, not_run and unknown
    std::size_t ran = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::size_t ids = 0; // distinct ids of unrepeatable requests
    std::size_t runs = 0;
    std::size_t grants = 0;
    std::size_t patches = 0; // submissions
    std::size_t accepted_patches = 0;
    std::size_t router_versions = 0; // routers' answers to queries for their version

    // Attempts with the outcome not-run although another attempt of the same id had begun
    // to run before. The outcome is correct for the attempt, but a caller must not read
    // it as "the id never ran".
    std::size_t denied_after_other_attempt = 0;
};

// Returns one line, "attempts=... answered=...".
std::string to_string(const history_summary& summary);

} // namespace camphorrock
