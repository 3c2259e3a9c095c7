#include "net/answer_text.hpp"

#include "net/http_status.hpp"

#include <http_parser.h>
#include <strings.h>

#include <algorithm>
#include <cstdio>

namespace camphorrock
{
namespace
{

constexpr const char* framing_headers[] = {
    "Connection", "Content-Length", "Keep-Alive", "Transfer-Encoding"};

constexpr int first_final_status = 200;

bool is_framing_header(const std::string& name)
{
    return std::any_of(std::begin(framing_headers),
                       std::end(framing_headers),
                       [&](const char* it) { return strcasecmp(it, name.c_str()) == 0; });
}

void append_head(std::string& to, const http_response& answer, bool closes_connection)
{
    to.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ");
    to.append(http_status_str(static_cast<enum ::http_status>(answer.status)))
        .append("\r\n");
    for (const http_header& it : answer.headers.all())
    {
        if (!is_framing_header(it.name))
        {
            to.append(it.name).append(": ").append(it.value).append("\r\n");
        }
    }
    if (closes_connection)
    {
        to.append("Connection: close\r\n");
    }
}

void append_length(std::string& to, const std::string& length)
{
    to.append("Content-Length: ").append(length).append("\r\n");
}

} // namespace

void append_answer(std::string& to,
                   const http_response& answer,
                   bool is_head,
                   bool closes_connection)
{
    append_head(to, answer, closes_connection);
    const bool has_no_body = answer.status < first_final_status ||
                             answer.status == camphorrock::http_status::no_content ||
                             answer.status == camphorrock::http_status::not_modified;
    const auto stated_length = answer.headers.find("Content-Length");
    if (is_head && stated_length)
    {
        append_length(to, std::string(*stated_length));
    }
    else if (!has_no_body)
    {
        append_length(to, std::to_string(answer.body.size()));
    }
    to.append("\r\n");
    if (!is_head && !has_no_body)
    {
        to.append(answer.body);
    }
}

void append_stream_head(std::string& to,
                        const http_response& answer,
                        bool closes_connection)
{
    append_head(to, answer, closes_connection);
    to.append("Transfer-Encoding: chunked\r\n\r\n");
}

void append_chunk(std::string& to, std::string_view piece)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    to.append(size).append(piece).append("\r\n");
}

void append_last_chunk(std::string& to)
{
    to.append("0\r\n\r\n");
}

} // namespace camphorrock
