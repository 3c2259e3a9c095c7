#include "net/request_text.hpp"

#include <strings.h>

#include <algorithm>
#include <iterator>
#include <optional>

namespace camphorrock
{
namespace
{

constexpr std::string_view managed_headers[] = {
    "Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Transfer-Encoding"};

bool is_single_line(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

bool is_single_word(std::string_view text)
{
    return !text.empty() && is_single_line(text) &&
           text.find(' ') == std::string_view::npos;
}

void append_header(std::string& to, std::string_view name, std::string_view value)
{
    to += name;
    to += ": ";
    to += value;
    to += "\r\n";
}

} // namespace

bool is_sendable(const http_request& request)
{
    return is_single_word(request.method) && is_single_word(request.target) &&
           std::all_of(request.headers.all().begin(),
                       request.headers.all().end(),
                       [](const http_header& it)
                       { return is_single_word(it.name) && is_single_line(it.value); });
}

bool is_managed_header(std::string_view name)
{
    return std::any_of(std::begin(managed_headers),
                       std::end(managed_headers),
                       [&](std::string_view it)
                       {
                           return it.size() == name.size() &&
                                  strncasecmp(it.data(), name.data(), name.size()) == 0;
                       });
}

bool states_length(const http_request& request)
{
    const std::string& method = request.method;
    const bool has_length = method == "POST" || method == "PUT" || method == "PATCH";
    return method != "HEAD" && (has_length || !request.content().empty());
}

std::string make_request_head(const http_request& request, const endpoint& to)
{
    std::string made = request.method + " " + request.target + " HTTP/1.1\r\n";
    append_header(made, "Host", request.headers.find("Host").value_or(to.str()));
    for (const http_header& it : request.headers.all())
    {
        if (!is_managed_header(it.name))
        {
            append_header(made, it.name, it.value);
        }
    }
    if (states_length(request))
    {
        append_header(made, "Content-Length", std::to_string(request.content().size()));
    }
    made += "\r\n";
    return made;
}

} // namespace camphorrock
