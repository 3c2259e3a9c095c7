#pragma once

// How the one run of an unrepeatable request ended.

#include "core/base/outcome.hpp"

#include <memory>
#include <string>

namespace camphorrock
{

struct once_result
{
    outcome end = outcome::unknown;
    unsigned status = 0; // HTTP status of the server's answer, for `ran`

    // The server's whole answer in a form that the program chooses, shared by all who
    // wait for it. Null where it was not kept.
    std::shared_ptr<const std::string> payload;

    bool operator==(const once_result& other) const
    {
        bool is_same = payload == other.payload ||
                       (payload && other.payload && *payload == *other.payload);
        return end == other.end && status == other.status && is_same;
    }
};

} // namespace camphorrock
