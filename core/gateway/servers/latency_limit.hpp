#pragma once

// Decides whether a request is sent to the server that was chosen for it, or refused
// since its answer is expected too late.
//
//     const duration limit = latency_limit(*to, {time_left, target});
//     if (!is_worth_sending(*to, limit)) ... // refuse
//
// Invariants:
//   - what is expected after the client's deadline is not sent, unless a probe is due;
//   - the target limits the queue, not the service time: while at most one request would
//     wait, refusing shortens no queue, so the deadline alone decides;
//   - while at most one request would wait, no expected latency keeps requests from a
//     server for longer than `server_pool_options::last_probe_after`.

#include "core/gateway/servers/server_pool.hpp"

namespace camphorrock
{

struct answer_terms
{
    duration time_left{}; // until the client's deadline
    duration target{};    // above which a queue is not to lengthen an answer
};

// Returns the longest expected latency with which a request is sent to the server.
duration latency_limit(const server_choice& to, const answer_terms& terms);

// True if the request is to be sent.
bool is_worth_sending(const server_choice& to, duration limit);

// An expected latency by which a request was refused.
struct rejected_latency
{
    duration expected{}; // zero if no request was refused by it
    duration limit{};    // see latency_limit()
    latency_evidence evidence{};
    bool has_queue = false; // more than one request would have waited
    unsigned load = 0;      // requests in flight at the server, of all gateways
};

// Describes a choice that is not worth sending under `limit`.
rejected_latency make_rejected_latency(const server_choice& to, duration limit);

// True if, without a queue and before the deadline, the request was refused by an
// estimate that no attempt could have corrected for over a second.
bool is_stale(const rejected_latency& it);

} // namespace camphorrock
