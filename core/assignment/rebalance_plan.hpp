#pragma once

// What a balancing policy asks of the shard_controller, which carries the steps out in
// order, a bounded number at once. A step whose range no longer fits the record (the
// partition was split, moved or lost since) is dropped and reported in the changes.

#include "core/base/key_hash.hpp"
#include "core/base/names.hpp"

#include <string>
#include <variant>
#include <vector>

namespace camphorrock
{

// Give the partition with exactly this range to another server.
struct move_step
{
    hash_range range;
    server_id to;
};

// Cut the partition that holds `at` so that a partition begins at `at`.
struct split_step
{
    key_hash at;
};

// Join the partition that begins at `at` with the one before it. Both must have the same
// owner and must not be moving.
struct merge_step
{
    key_hash at;
};

using rebalance_step = std::variant<move_step, split_step, merge_step>;

struct rebalance_plan
{
    std::vector<rebalance_step> steps;
    std::string reason; // kept with each change that follows
};

} // namespace camphorrock
