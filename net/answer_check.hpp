#pragma once

// Checks of an answer that need only its status and headers: that all readers of it agree
// where it ends.

#include "net/answer_fault.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <cstdint>

namespace camphorrock
{

// Refuses, by RFC 9112, section 6: several lengths, also equal ones; a length that is no
// number; an encoding other than "chunked", beside a length or in an answer of HTTP/1.0
// (`is_http_1_0`); and a body in an interim answer or a 204. Returns `none` for an answer
// that is accepted.
answer_fault check_answer(int status, bool is_http_1_0, const http_headers& headers);

// The size of an answer of which `counted` bytes have arrived and `length` are stated to
// follow; the largest number if it is larger.
std::size_t stated_size(std::size_t counted, std::uint64_t length);

} // namespace camphorrock
