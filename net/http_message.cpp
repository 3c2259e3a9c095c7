#include "net/http_message.hpp"

#include <strings.h>

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

bool is_same_name(std::string_view one, std::string_view other)
{
    return one.size() == other.size() &&
           strncasecmp(one.data(), other.data(), one.size()) == 0;
}

} // namespace

void http_headers::add(std::string name, std::string value)
{
    rows_.push_back({std::move(name), std::move(value)});
}

void http_headers::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string(name), std::move(value));
}

void http_headers::remove(std::string_view name)
{
    std::erase_if(rows_,
                  [&](const http_header& it) { return is_same_name(it.name, name); });
}

std::optional<std::string_view> http_headers::find(std::string_view name) const
{
    for (const http_header& it : rows_)
    {
        if (is_same_name(it.name, name))
        {
            return it.value;
        }
    }
    return std::nullopt;
}

} // namespace camphorrock
