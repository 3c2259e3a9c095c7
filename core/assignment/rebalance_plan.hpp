#pragma once

// The steps that a balancing policy or an operator requests from the shard_controller. It
// applies them in order and bounds the number of moves in flight. A step that no longer
// fits the record, because the partition was split, merged or moved in the meantime or
// the target can't take it, is dropped and reported in the changes.

#include "core/base/key_hash.hpp"
#include "core/base/names.hpp"

#include <string>
#include <variant>
#include <vector>

namespace camphorrock
{

// Move the partition with exactly this range to another server.
struct move_step
{
    hash_range range;
    server_id to;
};

// Split the partition that contains `at` so that a partition begins at `at`.
struct split_step
{
    key_hash at;
};

// Merge the partition that begins at `at` into the one before it. Both must have the same
// owner and must not be moving.
struct merge_step
{
    key_hash at;
};

using rebalance_step = std::variant<move_step, split_step, merge_step>;

struct rebalance_plan
{
    std::vector<rebalance_step> steps;
    std::string reason; // stored with each change that results
};

} // namespace camphorrock
