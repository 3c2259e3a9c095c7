#include "net/http_message.hpp"

#include <strings.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr const char* connection_headers[] = {"Connection",
                                              "Keep-Alive",
                                              "Proxy-Connection",
                                              "TE",
                                              "Trailer",
                                              "Transfer-Encoding",
                                              "Upgrade"};

// Appends the elements of a comma-separated list.
void append_words(std::string_view list, std::vector<std::string>& to)
{
    constexpr std::string_view separators = ", \t";
    std::size_t first = list.find_first_not_of(separators);
    while (first != std::string_view::npos)
    {
        const std::size_t end = list.find_first_of(separators, first);
        to.emplace_back(list.substr(first, end - first));
        first = list.find_first_not_of(separators, end);
    }
}

bool is_same_name(std::string_view one, std::string_view other)
{
    return one.size() == other.size() &&
           strncasecmp(one.data(), other.data(), one.size()) == 0;
}

} // namespace

void http_headers::add(std::string name, std::string value)
{
    headers_.push_back({std::move(name), std::move(value)});
}

void http_headers::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string(name), std::move(value));
}

void http_headers::remove(std::string_view name)
{
    std::erase_if(headers_,
                  [&](const http_header& it) { return is_same_name(it.name, name); });
}

void http_headers::remove_connection_headers()
{
    std::vector<std::string> names(std::begin(connection_headers),
                                   std::end(connection_headers));
    for (const http_header& it : headers_)
    {
        if (is_same_name(it.name, "Connection"))
        {
            append_words(it.value, names);
        }
    }
    for (const std::string& name : names)
    {
        remove(name);
    }
}

std::vector<std::string_view> http_headers::find_all(std::string_view name) const
{
    std::vector<std::string_view> found;
    for (const http_header& it : headers_)
    {
        if (is_same_name(it.name, name))
        {
            found.push_back(it.value);
        }
    }
    return found;
}

std::optional<std::string_view>
http_headers::find_unambiguous(std::string_view name) const
{
    const std::vector<std::string_view> values = find_all(name);
    const auto differing =
        std::adjacent_find(values.begin(), values.end(), std::not_equal_to<>());
    const bool is_unambiguous = !values.empty() && differing == values.end();
    return is_unambiguous ? std::optional(values.front()) : std::nullopt;
}

std::optional<std::string_view> http_headers::find(std::string_view name) const
{
    for (const http_header& it : headers_)
    {
        if (is_same_name(it.name, name))
        {
            return it.value;
        }
    }
    return std::nullopt;
}

} // namespace camphorrock
