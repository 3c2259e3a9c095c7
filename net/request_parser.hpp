#pragma once

// Turns the bytes of a connection into requests, by libhttp-parser.
//
//     request_parser parser(bounds);
//     parser.feed(bytes, [&](parsed_request got) { ... });
//     if (parser.fault()) ... // answer it and close: what follows can not be understood
//
// Refused as faults, beside what libhttp-parser refuses: lines that end without a
// carriage return, several lengths, a length beside an encoding, an encoding other than
// "chunked", and what is larger than the bounds.
//
// Memory: the request under way, within the bounds.

#include "net/http_message.hpp"
#include "net/request_check.hpp"

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

struct parsed_request
{
    http_request request;
    bool is_last = false; // the client wants the connection closed after the answer
};

class request_parser
{
public:
    using request_callback = std::function<void(parsed_request)>;

    explicit request_parser(request_bounds bounds);
    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;

    // Calls `on_request` for each request that is complete. Stops at a fault, and behind
    // a request that is the last.
    void feed(std::string_view bytes, const request_callback& on_request);

    const std::optional<request_refusal>& fault() const
    {
        return fault_;
    }

    // True within a request.
    bool is_inside() const
    {
        return is_inside_;
    }

    // True once when the client waits for "100 Continue" before it sends the body.
    bool take_continue();

private:
    static int on_begin(http_parser* raw);
    static int on_target(http_parser* raw, const char* data, std::size_t n);
    static int on_header_name(http_parser* raw, const char* data, std::size_t n);
    static int on_header_value(http_parser* raw, const char* data, std::size_t n);
    static int on_headers_end(http_parser* raw);
    static int on_body(http_parser* raw, const char* data, std::size_t n);
    static int on_end(http_parser* raw);
    static http_parser_settings make_settings();

    int refuse(int status, const char* text);
    bool take_header_bytes(std::size_t n);
    void end_header();
    bool has_bare_line_feed(std::string_view bytes);

    http_parser raw_{};
    http_parser_settings settings_;
    request_bounds bounds_;
    const request_callback* on_request_ = nullptr;
    parsed_request current_;
    std::string header_name_;
    std::string header_value_;
    std::size_t header_bytes_ = 0;
    bool is_inside_ = false;
    bool is_in_head_ = true;
    bool is_value_last_ = false; // the last header piece was of a value
    bool has_faulty_name_ = false;
    bool wants_continue_ = false;
    char last_byte_ = 0;
    std::optional<request_refusal> fault_;
};

} // namespace camphorrock
