#pragma once

// Checks of a request that need only its headers.

#include "net/http_message.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace camphorrock
{

struct request_refusal
{
    int status = 400;
    std::string text;
};

struct request_bounds
{
    std::size_t max_header_bytes;
    std::size_t max_body_bytes;
};

// Refuses a request that is larger than the bounds, and any whose body length is
// ambiguous between parsers (request smuggling): several lengths, a length beside an
// encoding, an encoding other than "chunked". `header_bytes` is the size of the request
// line and the headers. Returns nullopt for a request that is accepted.
std::optional<request_refusal> check_request(const http_headers& headers,
                                             std::size_t header_bytes,
                                             const request_bounds& bounds);

} // namespace camphorrock
