#pragma once

// The answers of a fake server to requests that it does not run.

#include "net/http_message.hpp"

#include <string>

namespace camphorrock
{

enum class server_refusal
{
    bad_request,     // 400: the target is malformed
    not_owner,       // 409: no grant covers the request's epoch
    overloaded,      // 503: the queue is full, or the server sheds the request
    draining,        // 503: the server is shutting down
    deadline_passed, // 504: the deadline passed while the request was queued
};

// Returns a problem+json answer with the header "Camphorrock-Outcome: not-run".
http_response to_response(server_refusal reason, const std::string& detail);

} // namespace camphorrock
