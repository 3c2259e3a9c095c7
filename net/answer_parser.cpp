#include "net/answer_parser.hpp"

#include "net/answer_check.hpp"
#include "net/http_status.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr int stop_parsing = 1;   // a callback's result that stops the parser
constexpr int skip_body = 1;      // on_headers_complete's result for "no body follows"
constexpr int refuse_answer = -1; // on_headers_complete's result that stops the parser
constexpr int first_final_status = 200;
constexpr int switching_protocols = 101;
constexpr std::uint64_t no_length = std::numeric_limits<std::uint64_t>::max();
// libhttp-parser's own bound for a head, in the whole process. Its default is lower than
// exchange_options::max_head_bytes.
constexpr std::uint32_t max_parsed_head_bytes = std::uint32_t{256} * 1024;
constexpr std::size_t max_reserved_bytes = std::size_t{64} * 1024;

answer_parser* self_of(http_parser* raw)
{
    return static_cast<answer_parser*>(raw->data);
}

std::string trim_end(std::string text)
{
    text.erase(text.find_last_not_of(" \t") + 1);
    return text;
}

} // namespace

answer_parser::answer_parser(answer_rules rules, memory_claim& memory)
    : rules_(std::move(rules)), memory_(memory)
{
    begin_message();
}

const http_parser_settings& answer_parser::settings()
{
    static const http_parser_settings made = []
    {
        http_parser_set_max_header_size(max_parsed_head_bytes);
        http_parser_settings it;
        http_parser_settings_init(&it);
        it.on_header_field = on_header_name;
        it.on_header_value = on_header_value;
        it.on_headers_complete = on_headers_end;
        it.on_body = on_body;
        it.on_message_complete = on_end;
        return it;
    }();
    return made;
}

void answer_parser::begin_message()
{
    http_parser_init(&raw_, HTTP_RESPONSE);
    raw_.data = this;
    answer_ = {};
    answer_.status = 0;
    header_name_.clear();
    header_value_.clear();
    is_in_value_ = false;
    is_in_headers_ = true;
    is_interim_ = false;
    is_skipped_ = false;
    is_message_over_ = false;
    line_ = answer_line_check(answer_line::status);
    chunk_left_ = 0;
}

std::size_t answer_parser::feed(std::string_view bytes)
{
    std::size_t used = 0;
    while (state_ == answer_state::incomplete && used < bytes.size())
    {
        const std::string_view rest = bytes.substr(used);
        used += line_ ? feed_line(rest) : feed_body(rest);
    }
    return used;
}

// Checks bytes up to the end of the current line, and parses them. Returns how many it
// used.
std::size_t answer_parser::feed_line(std::string_view bytes)
{
    const std::size_t n = line_->add(bytes);
    if (line_->fault() != answer_fault::none)
    {
        refuse(line_->fault());
        return n;
    }
    if (!count_line(n))
    {
        refuse(answer_state::too_large);
        return n;
    }
    if (line_->is_over())
    {
        begin_next_part();
    }
    parse(bytes.substr(0, n));
    return n;
}

// Behind the end of a line. What follows a head is known once it is parsed.
void answer_parser::begin_next_part()
{
    const answer_line_check ended = *line_;
    line_.reset();
    switch (ended.kind())
    {
    case answer_line::status:
        line_ = answer_line_check(answer_line::field);
        break;
    case answer_line::field:
        if (!ended.is_empty())
        {
            line_ = answer_line_check(answer_line::field);
        }
        break;
    case answer_line::chunk_size:
        chunk_left_ = ended.chunk_size();
        if (chunk_left_ == 0)
        {
            line_ = answer_line_check(answer_line::field); // of the trailer
        }
        break;
    case answer_line::chunk_end:
        line_ = answer_line_check(answer_line::chunk_size);
        break;
    }
}

std::size_t answer_parser::feed_body(std::string_view bytes)
{
    if (chunk_left_ == 0)
    {
        return parse(bytes);
    }
    const std::size_t n = std::min<std::uint64_t>(chunk_left_, bytes.size());
    chunk_left_ -= n;
    if (chunk_left_ == 0)
    {
        line_ = answer_line_check(answer_line::chunk_end);
    }
    return parse(bytes.substr(0, n));
}

// Parses up to the end of the current answer. Returns how many bytes it used.
std::size_t answer_parser::parse(std::string_view bytes)
{
    const std::size_t n =
        http_parser_execute(&raw_, &settings(), bytes.data(), bytes.size());
    if (is_message_over_)
    {
        end_message();
        return n;
    }
    const http_errno ec = HTTP_PARSER_ERRNO(&raw_);
    const bool is_valid = ec == HPE_OK && raw_.upgrade == 0 && n == bytes.size();
    if (state_ == answer_state::incomplete && !is_valid)
    {
        ec == HPE_HEADER_OVERFLOW ? refuse(answer_state::too_large)
                                  : refuse(answer_fault::other);
    }
    return n;
}

void answer_parser::end_message()
{
    const bool is_own = !is_interim_ && !is_skipped_;
    if (is_own)
    {
        state_ = answer_state::complete;
        return;
    }
    if (is_skipped_)
    {
        has_skipped_ = true;
        head_bytes_ = 0;
        answer_bytes_ = 0;
        memory_.set(0);
    }
    begin_message();
}

void answer_parser::feed_end()
{
    if (state_ != answer_state::incomplete)
    {
        return;
    }
    const bool may_be_whole = !is_in_headers_ && rules_.allows_close_delimited;
    if (may_be_whole)
    {
        http_parser_execute(&raw_, &settings(), nullptr, 0);
    }
    const bool is_own_over = is_message_over_ && !is_skipped_ && !is_interim_;
    state_ = is_own_over ? answer_state::complete : answer_state::invalid;
    is_connection_kept_ = false;
}

http_response answer_parser::take_answer()
{
    return std::move(answer_);
}

std::string answer_parser::take_pieces()
{
    return std::exchange(pieces_, {});
}

int answer_parser::refuse(answer_state why)
{
    state_ = why;
    return stop_parsing;
}

bool answer_parser::count_answer(std::size_t n)
{
    answer_bytes_ += n;
    memory_.add(n);
    return answer_bytes_ <= rules_.max_answer_bytes;
}

int answer_parser::refuse(answer_fault why)
{
    fault_ = why;
    return refuse(answer_state::invalid);
}

// Lines around chunks have a bound of their own: a stream may have any number of them.
bool answer_parser::count_line(std::size_t n)
{
    const bool is_around_chunk = line_->kind() == answer_line::chunk_size ||
                                 line_->kind() == answer_line::chunk_end;
    if (is_around_chunk)
    {
        return line_->size() <= rules_.max_head_bytes;
    }
    head_bytes_ += n;
    return count_answer(n) && head_bytes_ <= rules_.max_head_bytes;
}

int answer_parser::on_header_name(http_parser* raw, const char* data, std::size_t n)
{
    answer_parser* self = self_of(raw);
    if (self->is_in_value_)
    {
        self->finish_header();
    }
    self->header_name_.append(data, n);
    return 0;
}

int answer_parser::on_header_value(http_parser* raw, const char* data, std::size_t n)
{
    answer_parser* self = self_of(raw);
    self->is_in_value_ = true;
    self->header_value_.append(data, n);
    return 0;
}

void answer_parser::finish_header()
{
    if (!header_name_.empty() && is_in_headers_)
    {
        answer_.headers.add(std::exchange(header_name_, {}),
                            trim_end(std::exchange(header_value_, {})));
    }
    header_name_.clear();
    header_value_.clear();
    is_in_value_ = false;
}

bool answer_parser::has_bodiless_status() const
{
    return answer_.status == http_status::no_content ||
           answer_.status == http_status::not_modified;
}

bool answer_parser::has_no_body() const
{
    return is_interim_ || rules_.is_head_request || has_bodiless_status();
}

// An answer that states neither length nor chunks ends where its connection does, so its
// body may be truncated.
bool answer_parser::is_framed() const
{
    const bool is_chunked = (raw_.flags & F_CHUNKED) != 0;
    return has_no_body() || is_chunked || raw_.content_length != no_length;
}

// Behind a HEAD request, another one's answer may have a body where the own one has none;
// also one that states neither length nor chunks.
bool answer_parser::is_skippable() const
{
    const bool is_chunked = (raw_.flags & F_CHUNKED) != 0;
    const bool is_empty = !is_chunked && raw_.content_length == 0;
    return !rules_.is_head_request || is_empty || has_bodiless_status();
}

// Returns false if the body of an answer that is kept whole will exceed the bounds.
bool answer_parser::claim_stated_length()
{
    const bool is_kept = !is_skipped_ && !rules_.is_streamed;
    if (!is_kept || raw_.content_length == no_length)
    {
        return true;
    }
    const std::size_t size = stated_size(answer_bytes_, raw_.content_length);
    if (size > rules_.max_answer_bytes)
    {
        answer_bytes_ = size;
        return false;
    }
    answer_.body.reserve(std::min<std::size_t>(raw_.content_length, max_reserved_bytes));
    return true;
}

// Why the head that has ended is refused.
answer_fault answer_parser::find_fault() const
{
    if (answer_.status == switching_protocols)
    {
        return answer_fault::upgrade;
    }
    const bool is_http_1_0 = raw_.http_minor == 0;
    const answer_fault fault = check_answer(answer_.status, is_http_1_0, answer_.headers);
    const bool is_uncertain = is_skipped_ && !is_skippable();
    return fault == answer_fault::none && is_uncertain ? answer_fault::not_skipped
                                                       : fault;
}

int answer_parser::on_headers_end(http_parser* raw)
{
    answer_parser* self = self_of(raw);
    self->finish_header();
    self->is_in_headers_ = false;
    self->answer_.status = static_cast<int>(raw->status_code);
    self->is_interim_ = self->answer_.status < first_final_status;
    const answer_rules& rules = self->rules_;
    self->is_skipped_ =
        !self->is_interim_ && rules.is_own_answer && !rules.is_own_answer(self->answer_);
    const answer_fault fault = self->find_fault();
    if (fault != answer_fault::none)
    {
        self->refuse(fault);
        return refuse_answer;
    }
    self->is_connection_kept_ = self->is_framed() && http_should_keep_alive(raw) != 0 &&
                                !self->has_skipped_ && !rules.is_head_request;
    if (self->has_no_body())
    {
        return skip_body;
    }
    if (!self->claim_stated_length())
    {
        self->refuse(answer_state::too_large);
        return refuse_answer;
    }
    const bool is_chunked = (raw->flags & F_CHUNKED) != 0;
    if (is_chunked)
    {
        self->line_ = answer_line_check(answer_line::chunk_size);
    }
    return 0;
}

int answer_parser::on_body(http_parser* raw, const char* data, std::size_t n)
{
    answer_parser* self = self_of(raw);
    if (self->is_skipped_)
    {
        return 0;
    }
    if (self->rules_.is_streamed)
    {
        self->pieces_.append(data, n);
        return 0;
    }
    self->answer_.body.append(data, n);
    return self->count_answer(n) ? 0 : self->refuse(answer_state::too_large);
}

// Stops the parser, so that what follows is not taken for a part of this answer.
int answer_parser::on_end(http_parser* raw)
{
    self_of(raw)->is_message_over_ = true;
    http_parser_pause(raw, 1);
    return 0;
}

} // namespace camphorrock
