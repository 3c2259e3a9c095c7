#pragma once

// Answers of a stand-in server that did not run a request.

#include "net/http_message.hpp"

#include <string>

namespace camphorrock
{

enum class server_refusal
{
    bad_request,     // 400: the target cannot be read
    not_owner,       // 409: no grant covers the request's epoch
    overloaded,      // 503: the queue is full, or the server sheds
    draining,        // 503
    deadline_passed, // 504: the time ran out in the queue
};

// A problem+json answer with "Camphorrock-Outcome: not-run".
http_response to_response(server_refusal why, const std::string& detail);

} // namespace camphorrock
