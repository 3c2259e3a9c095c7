#include "fakes/site/answer_parser.hpp"

#include "net/http_status.hpp"

#include <utility>

namespace camphorrock::fakes
{
namespace
{

answer_parser* self_of(http_parser* raw)
{
    return static_cast<answer_parser*>(raw->data);
}

} // namespace

answer_parser::answer_parser() : settings_(make_settings())
{
    http_parser_init(&raw_, HTTP_RESPONSE);
    raw_.data = this;
}

void answer_parser::feed(std::string_view bytes, const answer_callback& on_answer)
{
    on_answer_ = &on_answer;
    http_parser_execute(&raw_, &settings_, bytes.data(), bytes.size());
}

http_parser_settings answer_parser::make_settings()
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

void answer_parser::add_header()
{
    if (!header_name_.empty())
    {
        current_.answer.headers.add(std::exchange(header_name_, {}),
                                    std::exchange(header_value_, {}));
    }
    is_in_value_ = false;
}

int answer_parser::on_begin(http_parser* raw)
{
    self_of(raw)->current_ = {};
    return 0;
}

int answer_parser::on_header_name(http_parser* raw, const char* data, std::size_t n)
{
    answer_parser* self = self_of(raw);
    if (self->is_in_value_)
    {
        self->add_header();
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

int answer_parser::on_headers_end(http_parser* raw)
{
    answer_parser* self = self_of(raw);
    self->add_header();
    self->current_.answer.status = static_cast<int>(raw->status_code);
    return 0;
}

int answer_parser::on_body(http_parser* raw, const char* data, std::size_t n)
{
    self_of(raw)->current_.answer.body.append(data, n);
    return 0;
}

int answer_parser::on_end(http_parser* raw)
{
    answer_parser* self = self_of(raw);
    if (self->current_.answer.status < http_status::ok)
    {
        return 0;
    }
    self->current_.is_last = http_should_keep_alive(raw) == 0;
    (*self->on_answer_)(self->current_);
    return 0;
}

} // namespace camphorrock::fakes
