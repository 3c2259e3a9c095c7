#pragma once

// Why the bytes of an answer are refused.

#include <string_view>

namespace camphorrock
{

enum class answer_fault
{
    none,
    status_line,  // not "HTTP/1.x", a status of 100 to 599, and a reason
    field_name,   // not a token directly before its colon
    field_value,  // it holds a control byte, also a line that ends without "\r\n"
    chunk,        // the size of a chunk, its extension or its end
    length,       // several lengths, or one that is no number
    encoding,     // a Transfer-Encoding other than "chunked", beside a length, or in 1.0
    unasked_body, // a status without a body comes with a length or chunks
    upgrade,      // 101, which no request asks for
    not_skipped,  // another request's answer, whose end is not certain
    other,        // the parser refused it
};

// "none", "status_line", ...
std::string_view name_of(answer_fault value);

} // namespace camphorrock
