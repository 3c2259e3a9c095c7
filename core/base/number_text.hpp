#pragma once

// Numbers as text.

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace camphorrock
{

// The whole text as one integer of type `Number`, without sign for unsigned types, blanks
// or a leading "+". None for any other text and for a number out of range.
template<class Number>
std::optional<Number> parse_number(std::string_view text, int base = 10)
{
    Number value = 0;
    const char* end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data(), end, value, base);
    if (ec != std::errc() || rest != end)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace camphorrock
