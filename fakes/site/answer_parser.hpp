#pragma once

// Parses the bytes that a caller receives on one connection into answers, using
// libhttp-parser.
//
//     answer_parser parser;
//     parser.feed(bytes, [&](const parsed_answer& got) { ... });
//     if (parser.is_failed()) ... // what follows is no answer
//
// Interim answers (1xx) are skipped. Not for HEAD requests. Memory: one answer.

#include "net/http_message.hpp"

#include <http_parser.h>

#include <functional>
#include <string>
#include <string_view>

namespace camphorrock::fakes
{

struct parsed_answer
{
    http_response answer;
    bool is_last = false; // the connection closes after it
};

class answer_parser
{
public:
    using answer_callback = std::function<void(const parsed_answer&)>;

    answer_parser();
    answer_parser(const answer_parser&) = delete;
    answer_parser& operator=(const answer_parser&) = delete;

    // Calls `on_answer` for each answer that is complete.
    void feed(std::string_view bytes, const answer_callback& on_answer);

    bool is_failed() const
    {
        return HTTP_PARSER_ERRNO(&raw_) != HPE_OK;
    }

private:
    static int on_begin(http_parser* raw);
    static int on_header_name(http_parser* raw, const char* data, std::size_t n);
    static int on_header_value(http_parser* raw, const char* data, std::size_t n);
    static int on_headers_end(http_parser* raw);
    static int on_body(http_parser* raw, const char* data, std::size_t n);
    static int on_end(http_parser* raw);
    static http_parser_settings make_settings();

    void add_header();

    http_parser raw_{};
    http_parser_settings settings_;
    const answer_callback* on_answer_ = nullptr;
    parsed_answer current_;
    std::string header_name_;
    std::string header_value_;
    bool is_in_value_ = false;
};

} // namespace camphorrock::fakes
