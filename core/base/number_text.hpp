#pragma once

// Parsing of numbers.

#include <charconv>
#include <limits>
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

// Parses the whole text as a decimal number: digits with at most one point. Returns the
// largest double for a number out of range, and nullopt for any other text, such as one
// with a sign or an exponent.
inline std::optional<double> parse_decimal(std::string_view text)
{
    const bool is_decimal =
        !text.empty() && text.find_first_not_of("0123456789.") == std::string_view::npos;
    if (!is_decimal)
    {
        return std::nullopt;
    }
    double value = 0;
    const char* end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, value);
    if (ec == std::errc::result_out_of_range)
    {
        return std::numeric_limits<double>::max();
    }
    return ec == std::errc() && rest == end ? std::optional(value) : std::nullopt;
}

} // namespace camphorrock
