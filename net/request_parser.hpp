#pragma once

// Parses the bytes of a connection into requests, using libhttp-parser.
//
//     request_parser parser(bounds);
//     parser.feed(bytes, [&](parsed_request got) { ... });
//     if (parser.refusal()) ... // answer it and close: no further bytes can be parsed
//
// Refuses, besides what libhttp-parser refuses: lines that end without a carriage return,
// several lengths, a length beside an encoding, an encoding other than "chunked", and
// requests that are larger than the bounds.
//
// Memory: one incomplete request, within the bounds.

#include "net/http_message.hpp"
#include "net/memory_budget.hpp"
#include "net/request_check.hpp"

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <memory>
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

    // Counts bodies in `memory`, which may be null, from their head on if they state
    // their length. A body for which there is no memory is refused with 503.
    explicit request_parser(request_bounds bounds,
                            std::shared_ptr<memory_budget> memory = {});
    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;

    // Calls `on_request` for each request that is complete. Stops at a request that is
    // refused, and after one that is the last.
    void feed(std::string_view bytes, const request_callback& on_request);

    const std::optional<request_refusal>& refusal() const
    {
        return refusal_;
    }

    // True if a request has been received in part.
    bool is_in_request() const
    {
        return is_in_request_;
    }

    // True if the client waits for "100 Continue" before it sends the body. Returns true
    // only once for a request.
    bool take_expect_continue();

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
    bool claim_body(std::size_t n);
    bool count_header_bytes(std::size_t n);
    void finish_header();
    std::size_t parse_part(std::string_view bytes);
    std::size_t find_head_end(std::string_view bytes);

    http_parser raw_{};
    http_parser_settings settings_;
    request_bounds bounds_;
    std::shared_ptr<memory_budget> memory_;
    std::shared_ptr<memory_claim> body_memory_; // of the current request
    const request_callback* on_request_ = nullptr;
    parsed_request current_;
    std::string header_name_;
    std::string header_value_;
    std::size_t header_bytes_ = 0;
    bool is_in_request_ = false;
    bool is_in_head_ = true;          // the next byte belongs to a request line or header
    bool is_in_header_value_ = false; // the last piece of a header was of its value
    bool has_invalid_header_name_ = false;
    bool wants_continue_ = false;
    unsigned blank_line_part_ = 0; // of the blank line at the end of the head
    std::optional<request_refusal> refusal_;
};

} // namespace camphorrock
