#pragma once

// The result of an unrepeatable request, which runs at most once.

#include "core/base/outcome.hpp"

#include <memory>
#include <string>

namespace camphorrock
{

struct once_result
{
    outcome end = outcome::unknown;
    unsigned status = 0; // HTTP status of the server's answer, for `ran`

    // The server's whole answer in an encoding that the program chooses, shared by all
    // waiters. Null if it was not kept.
    std::shared_ptr<const std::string> payload;

    bool operator==(const once_result& other) const
    {
        bool is_same = payload == other.payload ||
                       (payload && other.payload && *payload == *other.payload);
        return end == other.end && status == other.status && is_same;
    }
};

} // namespace camphorrock
