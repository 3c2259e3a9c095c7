#pragma once

// Converts answers to libmicrohttpd responses.

#include "net/http_message.hpp"

#include <memory>

struct MHD_Response;

namespace camphorrock
{

struct mhd_exchange;

struct mhd_response_deleter
{
    void operator()(MHD_Response* raw) const;
};

using mhd_response = std::unique_ptr<MHD_Response, mhd_response_deleter>;

// Moves the body without a copy. Headers that describe the connection or the length are
// left out, since libmicrohttpd writes its own, and so are those with an empty value,
// which it does not send. The answer to a HEAD request keeps the length that it states.
// With `close_after`, the connection closes after this answer. Returns null if memory
// runs out.
mhd_response make_mhd_response(http_response answer, bool is_head, bool close_after);

// The start of a streamed answer, which keeps its exchange alive while it is sent.
mhd_response make_mhd_stream(const std::shared_ptr<mhd_exchange>& exchange);

} // namespace camphorrock
