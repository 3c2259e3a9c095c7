#include "net/request_parser.hpp"

#include "net/http_status.hpp"

#include <strings.h>

#include <cstdint>
#include <limits>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr int stop_parsing = 1; // a callback's result that stops the parser
constexpr std::uint64_t no_length = std::numeric_limits<std::uint64_t>::max();

// How much of the "\r\n\r\n" at the end of a head the last bytes are.
constexpr unsigned after_return = 1;
constexpr unsigned after_line = 2;
constexpr unsigned after_second_return = 3;
constexpr unsigned after_blank_line = 4;

request_parser* self_of(http_parser* raw)
{
    return static_cast<request_parser*>(raw->data);
}

} // namespace

request_parser::request_parser(request_bounds bounds,
                               std::shared_ptr<memory_budget> memory)
    : settings_(make_settings()), bounds_(bounds), memory_(std::move(memory))
{
    http_parser_init(&raw_, HTTP_REQUEST);
    raw_.data = this;
}

http_parser_settings request_parser::make_settings()
{
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_message_begin = on_begin;
    made.on_url = on_target;
    made.on_header_field = on_header_name;
    made.on_header_value = on_header_value;
    made.on_headers_complete = on_headers_end;
    made.on_body = on_body;
    made.on_message_complete = on_end;
    return made;
}

void request_parser::feed(std::string_view bytes, const request_callback& on_request)
{
    on_request_ = &on_request;
    while (!refusal_ && !bytes.empty())
    {
        bytes.remove_prefix(parse_part(bytes));
    }
    on_request_ = nullptr;
}

// Parses a part of one request: up to the end of its head, or of the request. Returns the
// size of the part.
std::size_t request_parser::parse_part(std::string_view bytes)
{
    const std::string_view part =
        is_in_head_ ? bytes.substr(0, find_head_end(bytes)) : bytes;
    if (refusal_)
    {
        return bytes.size();
    }
    const std::size_t n =
        http_parser_execute(&raw_, &settings_, part.data(), part.size());
    const http_errno ec = HTTP_PARSER_ERRNO(&raw_);
    if (ec == HPE_PAUSED)
    {
        http_parser_pause(&raw_, 0);
    }
    const bool is_valid = ec == HPE_PAUSED || (ec == HPE_OK && n == part.size());
    if (!refusal_ && (!is_valid || raw_.upgrade != 0))
    {
        refuse(http_status::bad_request, "not a request");
    }
    return n;
}

// Returns the position behind the head's last byte, or the size of `bytes` if the head
// goes on. Refuses a line that ends without a carriage return, which http_parser accepts.
std::size_t request_parser::find_head_end(std::string_view bytes)
{
    for (std::size_t n = 0; n < bytes.size(); ++n)
    {
        const char c = bytes[n];
        const bool is_after_return =
            blank_line_part_ == after_return || blank_line_part_ == after_second_return;
        if (c == '\n' && !is_after_return)
        {
            refuse(http_status::bad_request, "a line ends without a carriage return");
            return n;
        }
        if (c == '\n')
        {
            ++blank_line_part_;
        }
        else if (c == '\r')
        {
            blank_line_part_ =
                blank_line_part_ == after_line ? after_second_return : after_return;
        }
        else
        {
            blank_line_part_ = 0;
        }
        if (blank_line_part_ == after_blank_line)
        {
            blank_line_part_ = 0;
            return n + 1;
        }
    }
    return bytes.size();
}

bool request_parser::take_expect_continue()
{
    return std::exchange(wants_continue_, false);
}

int request_parser::refuse(int status, const char* text)
{
    refusal_ = request_refusal{status, text};
    return stop_parsing;
}

bool request_parser::claim_body(std::size_t n)
{
    if (!body_memory_)
    {
        body_memory_ = std::make_shared<memory_claim>(memory_);
    }
    const bool has_room = body_memory_->try_add(n);
    if (!has_room)
    {
        refuse(http_status::unavailable, "there is no memory for the body");
    }
    return has_room;
}

bool request_parser::count_header_bytes(std::size_t n)
{
    header_bytes_ += n;
    return header_bytes_ <= bounds_.max_header_bytes;
}

int request_parser::on_begin(http_parser* raw)
{
    request_parser* self = self_of(raw);
    self->current_ = {};
    self->body_memory_.reset();
    self->header_name_.clear();
    self->header_value_.clear();
    self->header_bytes_ = 0;
    self->is_in_request_ = true;
    self->is_in_head_ = true;
    self->is_in_header_value_ = false;
    self->has_invalid_header_name_ = false;
    return 0;
}

int request_parser::on_target(http_parser* raw, const char* data, std::size_t n)
{
    request_parser* self = self_of(raw);
    if (!self->count_header_bytes(n))
    {
        return self->refuse(http_status::headers_too_large, "the target is too long");
    }
    self->current_.request.target.append(data, n);
    return 0;
}

int request_parser::on_header_name(http_parser* raw, const char* data, std::size_t n)
{
    request_parser* self = self_of(raw);
    if (self->is_in_header_value_)
    {
        self->finish_header();
    }
    if (!self->count_header_bytes(n))
    {
        return self->refuse(http_status::headers_too_large, "the headers are too large");
    }
    self->is_in_header_value_ = false;
    self->header_name_.append(data, n);
    return 0;
}

int request_parser::on_header_value(http_parser* raw, const char* data, std::size_t n)
{
    request_parser* self = self_of(raw);
    if (!self->count_header_bytes(n))
    {
        return self->refuse(http_status::headers_too_large, "the headers are too large");
    }
    self->is_in_header_value_ = true;
    self->header_value_.append(data, n);
    return 0;
}

void request_parser::finish_header()
{
    has_invalid_header_name_ = has_invalid_header_name_ ||
                               header_name_.find_first_of(" \t") != std::string::npos;
    current_.request.headers.add(std::exchange(header_name_, {}),
                                 std::exchange(header_value_, {}));
    is_in_header_value_ = false;
}

int request_parser::on_headers_end(http_parser* raw)
{
    request_parser* self = self_of(raw);
    if (!self->header_name_.empty())
    {
        self->finish_header();
    }
    self->is_in_head_ = false;
    if (self->has_invalid_header_name_)
    {
        self->refuse(http_status::bad_request, "a header's name holds a blank");
        return -1;
    }
    http_request& request = self->current_.request;
    request.method = http_method_str(static_cast<http_method>(raw->method));
    const std::optional<request_refusal> why =
        check_request(request.headers, self->header_bytes_, self->bounds_);
    if (why)
    {
        self->refusal_ = why;
        return -1;
    }
    const bool is_chunked = (raw->flags & F_CHUNKED) != 0;
    const std::size_t length = raw->content_length == no_length ? 0 : raw->content_length;
    if (!is_chunked && length > 0)
    {
        if (!self->claim_body(length))
        {
            return -1;
        }
        request.body.reserve(length);
    }
    const bool has_body = is_chunked || raw->content_length != 0;
    const std::optional<std::string_view> expects = request.headers.find("Expect");
    self->wants_continue_ =
        has_body && expects &&
        strncasecmp(expects->data(), "100-continue", expects->size()) == 0;
    return 0;
}

int request_parser::on_body(http_parser* raw, const char* data, std::size_t n)
{
    request_parser* self = self_of(raw);
    std::string& body = self->current_.request.body;
    if (body.size() + n > self->bounds_.max_body_bytes)
    {
        return self->refuse(http_status::content_too_large, "the body is too large");
    }
    const bool is_chunked = (raw->flags & F_CHUNKED) != 0;
    if (is_chunked && !self->claim_body(n))
    {
        return stop_parsing;
    }
    body.append(data, n);
    return 0;
}

int request_parser::on_end(http_parser* raw)
{
    request_parser* self = self_of(raw);
    self->is_in_request_ = false;
    self->is_in_head_ = true;
    self->wants_continue_ = false;
    self->current_.is_last = http_should_keep_alive(raw) == 0;
    self->current_.request.body_memory = std::move(self->body_memory_);
    (*self->on_request_)(std::exchange(self->current_, {}));
    http_parser_pause(raw, 1); // the next head is looked at first
    return 0;
}

} // namespace camphorrock
