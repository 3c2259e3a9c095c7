#pragma once

// One change of an assignment and its reason, kept for operators.

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
    created,       // the shard's first record
    move_started,  // the owner is being revoked
    move_ended,    // the new owner is set
    scheduler_set, // a server has another scheduler
    server_added,
    server_removed,
    voters_changed,
    split,
    merged,
    step_dropped, // a step of a plan that no longer fits
};

// "created", "move-started", ...
std::string_view name_of(change_kind value);

struct assignment_change
{
    epoch version; // that made it
    time_point at;
    change_kind kind = change_kind::created;
    std::optional<hash_range> range;
    server_id server; // the new owner, or the server concerned
    std::string reason;
};

} // namespace camphorrock
