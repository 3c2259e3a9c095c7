#pragma once

// What the server refuses by looking at a request's headers alone.

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

// Refuses what is larger than the bounds, and any message whose length two readers could
// understand differently: several lengths, a length beside an encoding, an encoding other
// than "chunked". `header_bytes` is the size of the request line and the headers.
std::optional<request_refusal> check_request(const http_headers& headers,
                                             std::size_t header_bytes,
                                             const request_bounds& bounds);

} // namespace camphorrock
