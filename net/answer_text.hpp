#pragma once

// The bytes of answers in HTTP/1.1.

#include "net/http_message.hpp"

#include <string>
#include <string_view>

namespace camphorrock
{

// Appends the whole answer with its length; the headers that say how it is framed are
// written anew. That to a HEAD request has no body and keeps the length that it states.
void append_answer(std::string& to,
                   const http_response& answer,
                   bool is_head,
                   bool closes_connection);

// Appends the head of an answer whose body follows in chunks.
void append_stream_head(std::string& to,
                        const http_response& answer,
                        bool closes_connection);
void append_chunk(std::string& to, std::string_view piece);
void append_last_chunk(std::string& to);

} // namespace camphorrock
