#pragma once

// Parses the bytes that follow a request on its connection, up to the end of its own
// answer, using libhttp-parser.
//
//     answer_parser parser(rules, memory);
//     const std::size_t used = parser.feed(bytes);   // less than all: excess bytes
//     parser.feed_end();                             // the other side closed in order
//     if (parser.state() == answer_state::complete)
//     {
//         take(parser.take_answer());
//     }
//
// Skips interim answers (1xx), and final ones that exchange_options::is_own_answer
// rejects: each up to its end, wherever the reads divide the bytes. Refuses, besides what
// libhttp-parser refuses: lines that answer_line_check refuses, heads that check_answer()
// refuses, an upgrade and, behind a HEAD request, an answer that is to be skipped and may
// have a body or none. No byte reaches libhttp-parser before its line check: the library
// lets pass what others frame in another way.
//
// Invariant: bytes behind the end of the own answer are never used.
//
// Memory: one answer within the bounds of the options; none of the body of one that is
// skipped.

#include "net/answer_fault.hpp"
#include "net/answer_line_check.hpp"
#include "net/http_client.hpp"
#include "net/http_message.hpp"
#include "net/memory_budget.hpp"

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

enum class answer_state
{
    incomplete, // the own answer has not ended
    complete,   // the own answer is whole
    invalid,    // the bytes are no answer, or it was cut off
    too_large,  // an answer exceeds its bounds
};

struct answer_rules
{
    bool is_head_request = false; // the final answer has no body
    bool is_streamed = false;     // bodies are taken by take_pieces(), without a bound
    std::size_t max_head_bytes = 0;
    std::size_t max_answer_bytes = 0;
    bool allows_close_delimited = false;
    std::function<bool(const http_response&)> is_own_answer{};
};

class answer_parser
{
public:
    // Counts the current answer's bytes in `memory`, which must outlive the parser.
    answer_parser(answer_rules rules, memory_claim& memory);
    answer_parser(const answer_parser&) = delete;
    answer_parser& operator=(const answer_parser&) = delete;

    // Returns how many of the bytes were used. Uses none once the state is not
    // `incomplete`.
    std::size_t feed(std::string_view bytes);

    // The connection has ended in order: completes an answer that ends with it.
    void feed_end();

    answer_state state() const
    {
        return state_;
    }

    // Why the bytes were refused; `none` for an answer that was cut off.
    answer_fault fault() const
    {
        return fault_;
    }

    // Whether the connection may carry another request after the own answer. False after
    // answers that were skipped: another copy may follow. False after a HEAD request: a
    // copy of its answer would be skipped with a body that it doesn't have.
    bool is_connection_kept() const
    {
        return is_connection_kept_;
    }

    // The status of the answer that is being read; 0 before its headers are complete.
    int status() const
    {
        return answer_.status;
    }

    // The bytes of the own answer: of one that is too large, as its head states them or,
    // if it states none, those that had arrived.
    std::size_t answer_bytes() const
    {
        return answer_bytes_;
    }

    // The own answer, once it is complete.
    http_response take_answer();

    // The part of a streamed body that came since the last call.
    std::string take_pieces();

private:
    static int on_header_name(http_parser* raw, const char* data, std::size_t n);
    static int on_header_value(http_parser* raw, const char* data, std::size_t n);
    static int on_headers_end(http_parser* raw);
    static int on_body(http_parser* raw, const char* data, std::size_t n);
    static int on_end(http_parser* raw);
    static const http_parser_settings& settings();

    void begin_message();
    void end_message();
    std::size_t feed_line(std::string_view bytes);
    std::size_t feed_body(std::string_view bytes);
    void begin_next_part();
    std::size_t parse(std::string_view bytes);
    void finish_header();
    bool count_line(std::size_t n);
    bool count_answer(std::size_t n);
    int refuse(answer_state why);
    int refuse(answer_fault why);
    answer_fault find_fault() const;
    bool has_bodiless_status() const;
    bool has_no_body() const;
    bool is_framed() const;
    bool claim_stated_length();
    bool is_skippable() const;

    http_parser raw_{};
    answer_rules rules_;
    memory_claim& memory_;
    answer_state state_ = answer_state::incomplete;
    http_response answer_;
    std::string header_name_;
    std::string header_value_;
    std::string pieces_;
    std::optional<answer_line_check> line_; // the current line; empty within a body
    std::uint64_t chunk_left_ = 0;          // bytes of the current chunk that are due
    answer_fault fault_ = answer_fault::none;
    std::size_t head_bytes_ = 0;   // of all heads since the last answer that was skipped
    std::size_t answer_bytes_ = 0; // since then, too
    bool is_in_value_ = false;
    bool is_in_headers_ = true; // trailers are ignored
    bool is_interim_ = false;   // the current answer
    bool is_skipped_ = false;   // the current answer is final, but not the own one
    bool has_skipped_ = false;  // an earlier one was
    bool is_message_over_ = false;
    bool is_connection_kept_ = false;
};

} // namespace camphorrock
