#pragma once

// Serializes a server's complete answer, which is stored with the outcome of an id so
// that a retry receives the same answer. The format resembles an HTTP/1.1 answer: a line
// with the status code, headers, an empty line, the body.

#include "net/http_message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

std::string write_kept_answer(const http_response& answer);

// Returns nullopt if the bytes are not in the format of write_kept_answer.
std::optional<http_response> read_kept_answer(std::string_view bytes);

} // namespace camphorrock
