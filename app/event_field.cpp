#include "app/event_field.hpp"

#include <algorithm>
#include <cstdio>

namespace camphorrock
{
namespace
{

constexpr std::size_t max_value_bytes = 256;

bool is_printable(char c)
{
    return c >= ' ' && c <= '~';
}

bool needs_no_quotes(char c)
{
    return is_printable(c) && c != ' ' && c != '"' && c != '\\' && c != '=';
}

void append_escaped(std::string& out, char c)
{
    if (c == '"' || c == '\\')
    {
        out += '\\';
        out += c;
    }
    else if (is_printable(c))
    {
        out += c;
    }
    else
    {
        char buf[sizeof "\\xff"];
        std::snprintf(buf, sizeof buf, "\\x%02x", static_cast<unsigned char>(c));
        out += buf;
    }
}

} // namespace

std::string to_string(const field& item)
{
    std::string_view value = std::string_view(item.value).substr(0, max_value_bytes);
    std::string out(item.name);
    out += '=';
    bool is_truncated = value.size() < item.value.size();
    if (!value.empty() && !is_truncated &&
        std::all_of(value.begin(), value.end(), needs_no_quotes))
    {
        return out.append(value);
    }
    out += '"';
    for (char c : value)
    {
        append_escaped(out, c);
    }
    return out + (is_truncated ? "...\"" : "\"");
}

} // namespace camphorrock
