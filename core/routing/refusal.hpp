#pragma once

// Why a request is refused or its outcome is not known, with what the caller is told:
// the stable problem type (RFC 9457), the status, and whether a later try makes sense.

#include "core/base/outcome.hpp"
#include "core/base/time.hpp"

#include <string_view>

namespace camphorrock
{

enum class refusal
{
    bad_target,            // the target is not /{service}/{key}...
    bad_header,            // a Camphorrock-* or Idempotency-Key header cannot be read
    id_required,           // unrepeatable method without Idempotency-Key
    id_reused,             // the id came before with another method or path
    unknown_service,       // no such service in the configuration
    no_owner,              // the key has no owner that can serve it now
    no_authority,          // the scheduler may not send now
    scheduler_unreachable, // the scheduling router could not be reached
    server_unreachable,    // no byte reached the server
    server_refused,        // the server refused by its epoch
    server_shed,           // the server said that it did not run it
    overloaded,            // the queue cannot answer before the deadline
    over_budget,           // a memory or retry budget is spent
    journal_unavailable,   // the store cannot record the id
    stale_configuration,   // this router has had no fresh contact for too long
    deadline_passed,       // the deadline passed before anything was sent
    answer_lost,           // sent, but no whole answer came back in time
    in_doubt, // the id was sent by an earlier scheduler; its outcome is not recorded
    answer_not_kept, // it ran; its answer was too large to keep for a retry
    internal,        // a fault of ours
};

struct refusal_terms
{
    refusal why;
    std::string_view type; // stable; "urn:camphorrock:" + type is the problem type
    int status;            // HTTP
    outcome told;
    std::string_view title; // for people
    duration retry_after;   // zero: a retry does not help
};

// The terms of a refusal. O(number of refusals).
const refusal_terms& terms_of(refusal why);

} // namespace camphorrock
