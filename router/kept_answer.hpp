#pragma once

// A server's whole answer as bytes, kept with an id's outcome so that a retry gets it
// again. The form is that of an HTTP/1.1 answer: status line, headers, empty line, body.

#include "net/http_message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

std::string write_kept_answer(const http_response& answer);

// None for bytes that write_kept_answer did not make.
std::optional<http_response> read_kept_answer(std::string_view bytes);

} // namespace camphorrock
