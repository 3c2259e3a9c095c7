#pragma once

// Why keys have no owner that can serve them, or stay with an owner that leaves, as far
// as the assigner knows.

#include "core/gateway/owners/key_assignment.hpp"

#include <string_view>

namespace camphorrock
{

enum class key_wait
{
    predecessor_grant,      // a grant of an earlier assigner may be in force
    predecessor_unanswered, // one that got no answer may be carried out after a release
    own_grant,              // a grant of this assigner may be in force
    own_unanswered,         // one that got no answer may be carried out after a release
    release,                // the owner has yet to answer a release
    record,                 // the next record gives the keys to their new owner
};

// "predecessor_grant", "predecessor_unanswered", ...
std::string_view name_of(key_wait value);

// The key ranges of a service that wait for the same reason.
struct waiting_keys
{
    service_name service;
    key_wait reason = key_wait::record;
    unsigned ranges = 0;
    unsigned keys = 0;
    // Of the range with the longest wait.
    assigned_key_range longest;
    duration longest_left{};
};

} // namespace camphorrock
