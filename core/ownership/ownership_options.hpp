#pragma once

// The time limits of ownership, the same in every program of a fleet. See docs/DESIGN.md,
// "One owner".
//
// A key is served again within 2 s of a loss: silence is noticed after at most
// router_silence + server_silence while grants lapse within authority_ttl.

#include "core/base/time.hpp"
#include "core/config/configuration.hpp"

#include <cstddef>
#include <cstdint>

namespace camphorrock
{

struct ownership_options
{
    // How long a majority of vouches is worth, from the time the round was sent.
    duration authority_ttl = milliseconds(800);

    // How long a grant is worth on the server's clock. At most authority_ttl.
    duration grant_ttl = milliseconds(800);

    duration vouch_period = milliseconds(200);  // between two rounds to the voters
    duration renew_period = milliseconds(200);  // between two renewals to a server
    duration report_period = milliseconds(200); // between two reports to the assigner
    duration retry_period = milliseconds(50);   // before an unanswered revocation or
                                                // first grant is sent again

    // A server that answered nothing for this long is reported as lost.
    duration server_silence = milliseconds(450);

    // The same where each connection is refused at once.
    duration server_refused = milliseconds(150);

    // Ticks further apart than this mean that the process was paused: silence of others
    // is then counted anew.
    duration pause_limit = milliseconds(200);

    // How long a partition that moves waits for its requests in flight before it is
    // revoked. Longer ones end at the old owner after that. Only for servers that check
    // epochs; others are waited for to the end.
    duration drain_limit = milliseconds(50);

    // The longest time that a request may take, from the service's configuration.
    duration max_request_time = seconds(10);

    // A voter that has read nothing from the store for this long stops vouching.
    duration voter_store_limit = seconds(900);

    // The rates of two instances' clocks differ by at most this many parts in a million.
    std::int64_t clock_drift_ppm = 1000;

    std::size_t max_shards = 1024;     // per voter
    std::size_t max_partitions = 4096; // per shard, in each table that holds them
    std::size_t max_exchanges = 64;    // unanswered messages kept per server
    // Counted per server: those of max_slots_per_server, and as many that ended without
    // an answer.
    std::size_t max_requests_in_flight = std::size_t{2} * max_slots_per_server;
};

// The longest that `span`, measured on one clock, can last on another one.
constexpr duration with_drift(duration span, const ownership_options& options)
{
    constexpr std::int64_t million = 1000000;
    constexpr duration rounding = microseconds(1000);
    return span + span * options.clock_drift_ppm / million + rounding;
}

} // namespace camphorrock
