#pragma once

// The reasons for which a request is refused or its outcome is unknown, and what the
// caller receives for each: the problem type (RFC 9457), the HTTP status, and whether a
// later retry can succeed.

#include "core/base/outcome.hpp"
#include "core/base/time.hpp"

#include <string_view>

namespace camphorrock
{

enum class refusal
{
    bad_target,            // the target is not /{service}/{key}...
    bad_header,            // a Camphorrock-* or Idempotency-Key header cannot be read
    id_required,           // a non-repeatable method without Idempotency-Key
    id_reused,             // the id was used before with another method or path
    unknown_service,       // no such service in the configuration
    no_owner,              // the key has no owner that can serve it now
    no_authority,          // the scheduler may not send now
    scheduler_unreachable, // the scheduling router could not be reached
    server_unreachable,    // no byte was sent to the server
    server_refused,        // the server refused because of the epoch
    server_shed,           // the server answered that it did not run the request
    overloaded,            // the queue cannot answer before the deadline
    over_budget,           // a memory or retry budget is exhausted
    journal_unavailable,   // the store cannot record the id
    stale_configuration,   // the configuration is not known to be current; see
                           // config_tracker
    deadline_passed,       // the deadline passed before anything was sent
    answer_lost,           // sent, but no complete answer was received in time
    outcome_unresolved,    // the id was sent by an earlier scheduler; its outcome is not
                           // recorded
    answer_not_kept, // the request ran; its answer was too large to keep for a retry
    internal,        // an internal error of the router
};

struct refusal_details
{
    refusal why;
    std::string_view type;    // stable; the problem type is "urn:camphorrock:" + type
    int status;               // HTTP
    outcome reported_outcome; // in the header Camphorrock-Outcome
    std::string_view title;   // for people
    duration retry_after;     // zero: a retry cannot succeed
};

// Returns the details of a refusal. O(1).
const refusal_details& details_of(refusal why);

} // namespace camphorrock
