#pragma once

// One name=value pair of a log line. Values may come from callers: they are escaped, so
// that an event stays on one line.

#include "core/base/epoch.hpp"
#include "core/base/tagged_string.hpp"
#include "core/base/time.hpp"

#include <concepts>
#include <string>
#include <string_view>

namespace camphorrock
{

struct field
{
    std::string_view name; // must have static storage duration
    std::string value;
    bool is_unquoted = false; // `value` is a JSON number, true or false

    field(std::string_view key, std::string_view text) : name(key), value(text) {}

    field(std::string_view key, const std::string& text) : name(key), value(text) {}

    field(std::string_view key, const char* text) : name(key), value(text) {}

    field(std::string_view key, bool flag)
        : name(key), value(flag ? "true" : "false"), is_unquoted(true)
    {
    }

    template<std::integral Number>
    field(std::string_view key, Number number)
        : name(key), value(std::to_string(number)), is_unquoted(true)
    {
    }

    field(std::string_view key, double number)
        : name(key), value(std::to_string(number)), is_unquoted(true)
    {
    }

    // Written in microseconds; the field's name must end in _us.
    field(std::string_view key, duration span)
        : name(key), value(std::to_string(span.count())), is_unquoted(true)
    {
    }

    field(std::string_view key, epoch at)
        : name(key), value(std::to_string(at.value)), is_unquoted(true)
    {
    }

    template<class Tag>
    field(std::string_view key, const tagged_string<Tag>& text)
        : name(key), value(text.str())
    {
    }
};

// Formats name=value. The value is quoted if it is empty or holds a blank, a quote, a
// backslash, '=' or a byte that is not printable ASCII. Values longer than 256 bytes are
// truncated, quoted and end in "...".
std::string to_string(const field& item);

} // namespace camphorrock
