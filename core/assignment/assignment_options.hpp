#pragma once

// Time limits and bounds of a shard_controller. Those of the ownership protocol, which
// routers and servers share, are in ownership_options.

#include "core/base/time.hpp"

#include <cstddef>

namespace camphorrock
{

struct assignment_options
{
    // A router that has sent no report for this long is considered lost.
    duration router_report_timeout = milliseconds(500);

    // Time between two copies of a record to a router that has not reported its version.
    duration record_resend_period = milliseconds(100);

    // Time between two fence requests to a voter.
    duration fence_period = milliseconds(200);

    // Delay of the next store call after a failed or unanswered one.
    duration store_retry_delay = milliseconds(200);

    // The result of a store call that has not ended by then is unknown.
    duration store_timeout = seconds(3);

    // While no majority of the voters has answered within this time, servers, schedulers
    // and partitions are left unchanged.
    duration majority_timeout = milliseconds(600);

    // The assigner resigns after this time without such a majority. The time doubles with
    // each resignation until a majority answers again.
    duration resign_after = milliseconds(1200);

    // A voter that has sent no report for this long is replaced by another router.
    duration voter_replace_after = seconds(5);

    // After this time without a majority of the voters, other voters are chosen. They
    // take effect once the lost voters must have stopped granting lease votes; see
    // ownership_options::max_store_read_age.
    duration voters_lost_after = seconds(60);

    // Time between two changes of scheduler that only spread servers evenly over the
    // routers.
    duration spread_period = seconds(5);

    std::size_t max_voters = 9;
    std::size_t max_planned_moves = 8;   // in flight at once; moves off a lost server
                                         // start regardless of this limit
    std::size_t max_changes_kept = 64;   // for operators to read
    std::size_t max_pending_steps = 256; // steps of rebalance plans not yet applied
};

} // namespace camphorrock
