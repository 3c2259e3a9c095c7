#pragma once

// The difference between two key assignments, so that a change of a few key ranges costs
// a message of a few ranges, whatever the number of servers.
//
//     assignment_history history;
//     history.add_assignment(assignment);                 // each one, in order
//     if (auto steps = history.steps_since(known)) send(*steps);
//     else send(assignment);                              // too old, or of another term

#include "core/gateway/owners/key_assignment.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace camphorrock
{

// The changes to the key ranges of one service.
struct key_range_changes
{
    service_name service;
    // New ranges; they replace the old ranges that they overlap.
    std::vector<assigned_key_range> changed;
    // The first keys of old ranges that no new range overlaps.
    std::vector<unsigned> removed_first_keys;

    bool operator==(const key_range_changes&) const = default;
};

// Leads from the assignment `base` to the assignment `version`.
struct assignment_delta
{
    assignment_version base;
    assignment_version version;
    instance_id writer;
    epoch epoch_limit;
    std::vector<key_range_changes> services; // one for each service of `version`

    bool operator==(const assignment_delta&) const = default;
};

// O(ranges log ranges).
assignment_delta difference(const key_assignment& from, const key_assignment& to);

// Empty if `base` is not the assignment that the delta starts from. O(ranges log ranges).
std::optional<key_assignment> apply(const key_assignment& base,
                                    const assignment_delta& delta);

// The last deltas between the successive assignments of one writer. Memory: `max_steps`
// deltas and one assignment.
class assignment_history
{
public:
    explicit assignment_history(std::size_t max_steps = 32) : max_steps_(max_steps) {}

    // Drops all steps if the term of `next` differs from that of the last assignment.
    void add_assignment(const key_assignment& next);

    // The steps from the assignment `known` to the last one. Empty if any of them is not
    // kept.
    std::optional<std::vector<assignment_delta>>
    steps_since(assignment_version known) const;

private:
    std::size_t max_steps_;
    key_assignment last_;
    std::deque<assignment_delta> steps_;
};

} // namespace camphorrock
