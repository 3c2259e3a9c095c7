#pragma once

// Parsing of numbers.

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace camphorrock
{

// Parses the whole text as one integer in the given base. Blanks, a leading "+" and, for
// unsigned types, a sign are not accepted. Returns nullopt for any other text and for a
// number out of range.
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
