#pragma once

// The HTTP answer for a refusal: application/problem+json (RFC 9457) with the outcome
// and, if a retry can succeed, Retry-After with jitter.

#include "core/base/time.hpp"
#include "core/routing/refusal.hpp"
#include "net/http_message.hpp"

#include <random>
#include <string>

namespace camphorrock
{

// Headers of the interface to callers.
constexpr const char* outcome_header = "Camphorrock-Outcome";
constexpr const char* epoch_header = "Camphorrock-Epoch";
constexpr const char* timeout_header = "Camphorrock-Timeout-Ms";
constexpr const char* caller_header = "Camphorrock-Caller";
constexpr const char* id_header = "Idempotency-Key";

struct problem
{
    refusal why = refusal::internal;
    std::string detail;     // for people; may be empty
    duration retry_after{}; // zero: the default of `why`
};

// Retry-After is in whole seconds, rounded up after adding jitter of up to half of the
// time; the body's "retry_after_ms" has the exact value.
http_response make_problem_answer(const problem& what, std::mt19937_64& random);

} // namespace camphorrock
