#pragma once

// The difference between two assignments of keys, so that a change of a few shares costs
// a message of a few shares, whatever the number of servers.
//
//     assignment_history history;
//     history.note(assignment);                        // each one, in order
//     if (auto steps = history.since(known)) send(*steps);
//     else send(assignment);                           // too old, or of another term

#include "core/gateway/key_assignment.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace camphorrock
{

// What changes in the shares of one service.
struct share_changes
{
    service_name service;
    std::vector<key_share> changed; // new ones; old ones give way where these overlap
    std::vector<unsigned> gone;     // first keys of old ones that end without a successor

    bool operator==(const share_changes&) const = default;
};

// Leads from the assignment `base` to the assignment `version`.
struct assignment_delta
{
    assignment_version base;
    assignment_version version;
    instance_id writer;
    epoch limit;
    std::vector<share_changes> services; // one for each of `version`

    bool operator==(const assignment_delta&) const = default;
};

// O(shares).
assignment_delta difference(const key_assignment& from, const key_assignment& to);

// None where `base` is another assignment than the delta's. O(shares log shares).
std::optional<key_assignment> apply(const key_assignment& base,
                                    const assignment_delta& delta);

// The last steps between the assignments that a writer has made. Memory: `max_steps`
// deltas and one assignment.
class assignment_history
{
public:
    explicit assignment_history(std::size_t max_steps = 32) : max_steps_(max_steps) {}

    // Begins anew where `next` is of another term than the last one.
    void note(const key_assignment& next);

    // The steps from the assignment `known` to the last one; none where they are not all
    // here.
    std::optional<std::vector<assignment_delta>> since(assignment_version known) const;

private:
    std::size_t max_steps_;
    key_assignment last_;
    std::deque<assignment_delta> steps_;
};

} // namespace camphorrock
