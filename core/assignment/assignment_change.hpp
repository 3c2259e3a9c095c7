#pragma once

// A change that a version of the record made, with its reason, kept for operators.

#include "core/base/epoch.hpp"
#include "core/base/key_hash.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

enum class change_kind
{
    created,       // the shard received its first record
    move_started,  // revocation of the owner began
    move_ended,    // the partition received its new owner
    scheduler_set, // a server received another scheduler
    server_added,
    server_removed,
    voters_changed,
    split,
    merged,
    step_dropped, // a step of a rebalance plan no longer fits the record
};

// "created", "move-started", ...
std::string_view name_of(change_kind value);

struct assignment_change
{
    epoch version; // the version of the record that contains the change
    time_point at;
    change_kind kind = change_kind::created;
    std::optional<hash_range> range; // empty: the change concerns no single partition
    server_id server; // the new owner or the changed server; empty: neither applies
    std::string reason;
};

} // namespace camphorrock
