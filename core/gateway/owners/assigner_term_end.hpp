#pragma once

// What an assigner that has resigned tells its successor: which of its grants may still
// be carried out is known to itself alone.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstdint>

namespace camphorrock
{

struct assigner_term_end
{
    instance_id writer;     // of the record that its orders follow
    std::uint64_t term = 0; // of that record's version
    // After this time, no grant is in force. Both in whole milliseconds, rounded up.
    duration grants_left{};
    // After this time, no grant that a server did not answer is in force.
    duration unanswered_grants_left{};

    bool operator==(const assigner_term_end&) const = default;
};

// What a gateway tells the assigner if an earlier process of its own wrote the record.
// That process sent no orders after this one started.
struct assigner_restart
{
    instance_id writer;
    std::uint64_t term = 0; // of the record's version
    // Since the start of this process; in whole milliseconds, rounded down.
    duration started_ago{};

    bool operator==(const assigner_restart&) const = default;
};

} // namespace camphorrock
