#include "net/answer_reader.hpp"

#include "net/http_status.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr std::size_t buffer_bytes = std::size_t{16} * 1024;
constexpr int stop_parsing = 1; // a callback's result that stops the parser
constexpr int first_final_status = 200;

answer_reader* self_of(http_parser* raw)
{
    return static_cast<answer_reader*>(raw->data);
}

} // namespace

answer_reader::answer_reader(event_loop& loop,
                             int fd,
                             exchange_options options,
                             memory_claim& memory,
                             callback done)
    : fd_(fd), options_(std::move(options)), memory_(memory), done_(std::move(done)),
      settings_(make_settings())
{
    http_parser_init(&raw_, HTTP_RESPONSE);
    raw_.data = this;
    read_watch_ = loop.on_readable(fd_, [this] { read(); });
}

answer_reader::~answer_reader()
{
    read_watch_.reset();
    ::close(fd_);
}

http_parser_settings answer_reader::make_settings()
{
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_message_begin = on_begin;
    made.on_header_field = on_header_name;
    made.on_header_value = on_header_value;
    made.on_headers_complete = on_headers_end;
    made.on_body = on_body;
    made.on_message_complete = on_end;
    return made;
}

void answer_reader::read()
{
    char buf[buffer_bytes];
    const ssize_t n = recv(fd_, buf, sizeof buf, MSG_DONTWAIT);
    const bool is_to_wait =
        n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    if (is_to_wait)
    {
        return;
    }
    if (n < 0)
    {
        finish(exchange_end::connection_lost);
        return;
    }
    parse(buf, static_cast<std::size_t>(n)); // of no bytes: the end of the connection
    if (is_complete_)
    {
        finish(exchange_end::answered);
        return;
    }
    const bool is_over = n == 0 || HTTP_PARSER_ERRNO(&raw_) != HPE_OK;
    if (is_over)
    {
        finish(is_too_large_ ? exchange_end::too_large : exchange_end::connection_lost);
    }
}

void answer_reader::parse(const char* data, std::size_t n)
{
    // An answer without a length ends with its connection, if that is allowed.
    if (n > 0 || options_.allows_close_delimited)
    {
        http_parser_execute(&raw_, &settings_, data, n);
    }
}

void answer_reader::finish(exchange_end end)
{
    read_watch_.reset();
    exchange_result made;
    made.end = end;
    made.is_connection_reused = true;
    if (end == exchange_end::answered)
    {
        made.answer = std::move(answer_);
    }
    // The callback may destroy this object.
    const callback done = std::exchange(done_, nullptr);
    done(std::move(made));
}

bool answer_reader::count_bytes(std::size_t n, std::size_t limit)
{
    answer_bytes_ += n;
    memory_.add(n);
    is_too_large_ = answer_bytes_ > limit;
    return !is_too_large_;
}

int answer_reader::on_begin(http_parser* raw)
{
    answer_reader* self = self_of(raw);
    self->answer_ = {};
    self->memory_.set(0);
    self->header_name_.clear();
    self->header_value_.clear();
    self->is_in_value_ = false;
    self->is_in_headers_ = true;
    self->answer_bytes_ = 0;
    return 0;
}

void answer_reader::add_header()
{
    if (!header_name_.empty() && is_in_headers_)
    {
        answer_.headers.add(std::move(header_name_), std::move(header_value_));
    }
    header_name_.clear();
    header_value_.clear();
    is_in_value_ = false;
}

int answer_reader::on_header_name(http_parser* raw, const char* data, std::size_t n)
{
    answer_reader* self = self_of(raw);
    if (self->is_in_value_)
    {
        self->add_header();
    }
    self->header_name_.append(data, n);
    return self->count_bytes(n, self->options_.max_head_bytes) ? 0 : stop_parsing;
}

int answer_reader::on_header_value(http_parser* raw, const char* data, std::size_t n)
{
    answer_reader* self = self_of(raw);
    self->is_in_value_ = true;
    self->header_value_.append(data, n);
    return self->count_bytes(n, self->options_.max_head_bytes) ? 0 : stop_parsing;
}

int answer_reader::on_headers_end(http_parser* raw)
{
    answer_reader* self = self_of(raw);
    self->add_header();
    self->is_in_headers_ = false;
    self->answer_bytes_ = 0;
    self->answer_.status = static_cast<int>(raw->status_code);
    return 0;
}

int answer_reader::on_body(http_parser* raw, const char* data, std::size_t n)
{
    answer_reader* self = self_of(raw);
    self->answer_.body.append(data, n);
    return self->count_bytes(n, self->options_.max_answer_bytes) ? 0 : stop_parsing;
}

// Stops at the request's own answer; goes on after any other.
int answer_reader::on_end(http_parser* raw)
{
    answer_reader* self = self_of(raw);
    self->is_complete_ = self->answer_.status >= first_final_status &&
                         self->options_.is_own_answer(self->answer_);
    return self->is_complete_ ? stop_parsing : 0;
}

} // namespace camphorrock
