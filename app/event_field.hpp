#pragma once

// One key=value pair of a log line. The value may come from outside: it is escaped, so
// that a line stays one line.

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
    std::string_view name; // of static storage: a literal
    std::string value;
    bool is_number = false; // `value` is a JSON number or literal

    field(std::string_view key, std::string_view text) : name(key), value(text) {}

    field(std::string_view key, const std::string& text) : name(key), value(text) {}

    field(std::string_view key, const char* text) : name(key), value(text) {}

    field(std::string_view key, bool flag)
        : name(key), value(flag ? "true" : "false"), is_number(true)
    {
    }

    template<std::integral Number>
    field(std::string_view key, Number number)
        : name(key), value(std::to_string(number)), is_number(true)
    {
    }

    field(std::string_view key, double number)
        : name(key), value(std::to_string(number)), is_number(true)
    {
    }

    // In microseconds; name the field ..._us.
    field(std::string_view key, duration span)
        : name(key), value(std::to_string(span.count())), is_number(true)
    {
    }

    field(std::string_view key, epoch at)
        : name(key), value(std::to_string(at.value)), is_number(true)
    {
    }

    template<class Tag>
    field(std::string_view key, const tagged_string<Tag>& text)
        : name(key), value(text.str())
    {
    }
};

// name=value, quoted where the value holds anything but printable ASCII without blanks,
// quotes, backslashes and '='. Values longer than 256 bytes are cut and end in "...".
std::string to_string(const field& item);

} // namespace camphorrock
