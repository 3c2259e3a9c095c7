#pragma once

// Serializes answers as HTTP/1.1.

#include "net/http_message.hpp"

#include <string>
#include <string_view>

namespace camphorrock
{

// Appends the whole answer with its Content-Length. Framing headers of `answer`
// (Connection, Content-Length, Keep-Alive, Transfer-Encoding) are not copied. With
// `is_head`, for the answer to a HEAD request, the body is left out and a Content-Length
// that `answer` states is kept.
void append_answer(std::string& to,
                   const http_response& answer,
                   bool is_head,
                   bool closes_connection);

// Appends the head of an answer whose body follows in chunks, up to append_last_chunk().
void append_stream_head(std::string& to,
                        const http_response& answer,
                        bool closes_connection);

// `piece` must not be empty: an empty chunk ends the body.
void append_chunk(std::string& to, std::string_view piece);
void append_last_chunk(std::string& to);

} // namespace camphorrock
