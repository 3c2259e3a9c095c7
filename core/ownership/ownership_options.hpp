#pragma once

// The time limits of ownership. Every program of a fleet must use the same values. See
// docs/DESIGN.md, "One owner".
//
// A key is served again within 2 s of the loss of a server or router. The loss is
// detected after at most assignment_options::router_report_timeout +
// unresponsive_server_timeout; meanwhile grants lapse within authority_ttl.

#include "core/base/time.hpp"
#include "core/config/configuration.hpp"

#include <cstddef>
#include <cstdint>

namespace camphorrock
{

struct ownership_options
{
    // How long a router holds authority after a majority of lease votes, counted from
    // when it sent the round.
    duration authority_ttl = milliseconds(800);

    // How long a grant is valid on the server's clock. At most authority_ttl.
    duration grant_ttl = milliseconds(800);

    duration lease_vote_period = milliseconds(200); // between two lease vote rounds
    duration renew_period = milliseconds(200);      // between two renewals to a server
    duration report_period = milliseconds(200);     // between two reports to the assigner
    duration retry_period = milliseconds(50);       // before an unanswered revocation or
                                                    // first grant is resent

    // A server that has not answered for this long is reported as lost.
    duration unresponsive_server_timeout = milliseconds(450);

    // A server that has refused every connection for this long is reported as lost.
    duration refusing_server_timeout = milliseconds(150);

    // A longer gap between two ticks means that this process was paused. The time since
    // the last answer of each peer is then counted from the end of the pause.
    duration pause_threshold = milliseconds(200);

    // How long a moving partition waits for its requests in flight before it is revoked.
    // Requests that take longer finish at the old owner after the revocation. Applies
    // only to servers that check epochs; otherwise the partition waits until all have
    // ended.
    duration drain_limit = milliseconds(50);

    // The longest time that a request may run, from the service's configuration.
    duration max_request_time = seconds(10);

    // A voter whose last read of the record from the store is older than this grants no
    // lease votes.
    duration max_store_read_age = seconds(900);

    // The clock rates of two instances differ by at most this many parts per million.
    std::int64_t clock_drift_ppm = 1000;

    std::size_t max_shards = 1024;     // per voter
    std::size_t max_partitions = 4096; // per shard, in each table that holds them
    std::size_t max_exchanges = 64;    // unanswered messages kept per server
    // Per server: max_slots_per_server that run, and as many that ended without an answer
    // and may still run.
    std::size_t max_requests_in_flight = std::size_t{2} * max_slots_per_server;
};

// Returns the longest time that `span`, measured on one clock, can take on another one.
constexpr duration with_drift(duration span, const ownership_options& options)
{
    constexpr std::int64_t million = 1000000;
    constexpr duration rounding = microseconds(1000);
    return span + span * options.clock_drift_ppm / million + rounding;
}

} // namespace camphorrock
