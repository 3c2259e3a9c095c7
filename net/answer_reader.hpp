#pragma once

// Reads the answer to a request that was sent on a connection, after an answer to an
// earlier request arrived there in its place: a server may send an answer once more,
// late. Answers that are not the request's own are skipped.
//
//     answer_reader reader(loop, fd, options, [&](exchange_result got) { ... });
//
// Calls back once, unless it is destroyed first, and never within the constructor.
// Memory: one answer, at most exchange_options::max_answer_bytes.

#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <string>

namespace camphorrock
{

class answer_reader
{
public:
    using callback = std::function<void(exchange_result)>;

    // Takes over the socket `fd`, and closes it in the end. Counts the answer's bytes in
    // `memory`. `loop` and `memory` must outlive the reader. `options.is_own_answer` must
    // not be empty; the time limits are not used.
    answer_reader(event_loop& loop,
                  int fd,
                  exchange_options options,
                  memory_claim& memory,
                  callback done);
    answer_reader(const answer_reader&) = delete;
    answer_reader& operator=(const answer_reader&) = delete;
    ~answer_reader();

private:
    static int on_begin(http_parser* raw);
    static int on_header_name(http_parser* raw, const char* data, std::size_t n);
    static int on_header_value(http_parser* raw, const char* data, std::size_t n);
    static int on_headers_end(http_parser* raw);
    static int on_body(http_parser* raw, const char* data, std::size_t n);
    static int on_end(http_parser* raw);
    static http_parser_settings make_settings();

    void read();
    void parse(const char* data, std::size_t n);
    bool count_bytes(std::size_t n, std::size_t limit);
    void add_header();
    void finish(exchange_end end);

    int fd_;
    exchange_options options_;
    memory_claim& memory_;
    callback done_; // empty after the call
    http_parser raw_{};
    http_parser_settings settings_;
    http_response answer_;
    std::string header_name_;
    std::string header_value_;
    bool is_in_value_ = false;
    bool is_in_headers_ = true; // of the answer; trailers are ignored
    std::size_t answer_bytes_ = 0;
    bool is_complete_ = false; // answer_ is the request's own, and whole
    bool is_too_large_ = false;
    watch_handle read_watch_;
};

} // namespace camphorrock
