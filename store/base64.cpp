#include "store/base64.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorrock
{
namespace
{

constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr unsigned bits_per_digit = 6;
constexpr unsigned digit_mask = 0x3f;
constexpr unsigned byte_mask = 0xff;
constexpr std::size_t group_bytes = 3;
constexpr std::size_t group_digits = 4;
constexpr std::uint8_t no_digit = 0xff;

constexpr std::array<std::uint8_t, 256> make_values()
{
    std::array<std::uint8_t, 256> made{};
    made.fill(no_digit);
    for (std::size_t i = 0; i < digits.size(); ++i)
    {
        made[static_cast<unsigned char>(digits[i])] = static_cast<std::uint8_t>(i);
    }
    return made;
}

constexpr std::array<std::uint8_t, 256> values = make_values();

// Encodes up to three bytes as four characters; "=" pads a group of fewer bytes.
void append_group(std::string& to, std::string_view bytes)
{
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < group_bytes; ++i)
    {
        bits =
            bits << 8U | (i < bytes.size() ? static_cast<unsigned char>(bytes[i]) : 0U);
    }
    for (std::size_t i = 0; i < group_digits; ++i)
    {
        const unsigned shift =
            bits_per_digit * static_cast<unsigned>(group_digits - 1 - i);
        to.push_back(i <= bytes.size() ? digits[bits >> shift & digit_mask] : '=');
    }
}

// Decodes four characters, the last `missing` of which must be "=". Returns false if a
// character is not valid in its place.
bool append_bytes(std::string& to, std::string_view group, std::size_t missing)
{
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < group_digits; ++i)
    {
        const bool is_padding = i >= group_digits - missing;
        const std::uint8_t value =
            is_padding ? 0 : values[static_cast<unsigned char>(group[i])];
        if (value == no_digit || (is_padding && group[i] != '='))
        {
            return false;
        }
        bits = bits << bits_per_digit | value;
    }
    for (std::size_t i = 0; i < group_bytes - missing; ++i)
    {
        to.push_back(static_cast<char>(bits >> (16U - 8U * i) & byte_mask));
    }
    return true;
}

} // namespace

std::string to_base64(std::string_view bytes)
{
    std::string made;
    made.reserve((bytes.size() + group_bytes - 1) / group_bytes * group_digits);
    for (std::size_t at = 0; at < bytes.size(); at += group_bytes)
    {
        append_group(made, bytes.substr(at, group_bytes));
    }
    return made;
}

std::optional<std::string> parse_base64(std::string_view text)
{
    if (text.size() % group_digits != 0)
    {
        return std::nullopt;
    }
    const std::size_t missing = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    std::string made;
    made.reserve(text.size() / group_digits * group_bytes);
    for (std::size_t at = 0; at < text.size(); at += group_digits)
    {
        const bool is_last = at + group_digits == text.size();
        if (!append_bytes(made, text.substr(at, group_digits), is_last ? missing : 0))
        {
            return std::nullopt;
        }
    }
    if (to_base64(made) != text)
    {
        return std::nullopt; // unused bits of the last digit are set
    }
    return made;
}

} // namespace camphorrock
