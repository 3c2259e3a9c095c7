#pragma once

// Limits of a shard_controller. Those of ownership are in ownership_options.

#include "core/base/time.hpp"

#include <cstddef>

namespace camphorrock
{

struct assignment_options
{
    // A router that reported nothing for this long is lost.
    duration router_silence = milliseconds(500);

    duration send_period = milliseconds(100);  // before a record that a router has not
                                               // yet reported is sent to it again
    duration fence_period = milliseconds(200); // between two fences to a voter
    duration store_retry = milliseconds(200);  // after a failed or unanswered call
    duration store_timeout = seconds(3); // a call without any end by then is unknown

    // Without answers of a majority of voters for this long nothing is taken away.
    duration majority_silence = milliseconds(600);

    // Without such a majority for this long the assigner resigns; doubles each time.
    duration resign_after = milliseconds(1200);

    // A voter lost for this long is replaced by another router.
    duration voter_replace_after = seconds(5);

    // Without a majority of voters for this long other voters are named. They take effect
    // once the lost ones must have stopped vouching; see voter_store_limit.
    duration voters_lost_after = seconds(60);

    // Between two changes of scheduler that only spread the servers over the routers.
    duration spread_period = seconds(5);

    std::size_t max_voters = 9;
    std::size_t max_planned_moves = 8; // at once; moves off a lost server do not count
    std::size_t max_changes_kept = 64; // for explaining what was done
    std::size_t max_plan = 256;        // steps of a rebalance plan that wait
};

} // namespace camphorrock
