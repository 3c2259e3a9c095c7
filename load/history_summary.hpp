#pragma once

// The size of a history, for the report of a check.

#include <cstddef>
#include <string>

namespace camphorrock
{

struct history_summary
{
    std::size_t attempts = 0;
    std::size_t answered = 0;
    std::size_t ran = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::size_t ids = 0; // distinct ids of unrepeatable requests
    std::size_t runs = 0;
    std::size_t grants = 0;
    std::size_t patches = 0; // submissions
    std::size_t accepted_patches = 0;
    std::size_t router_versions = 0; // answers of routers about their version

    // Attempts told not-run although another attempt of the same id had begun to run
    // before. True of the attempt, but a caller must not read it as "the id never ran".
    std::size_t denied_after_other_attempt = 0;
};

// "attempts=... answered=...", one line.
std::string to_string(const history_summary& summary);

} // namespace camphorrock
