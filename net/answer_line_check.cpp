#include "net/answer_line_check.hpp"

#include <array>
#include <string_view>

namespace camphorrock
{
namespace
{

// The status line up to its reason; '#' stands for a digit.
constexpr std::string_view status_line_start = "HTTP/1.# ###";
constexpr std::size_t status_at = 9; // of the status's first digit
constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;
constexpr unsigned max_size_digits = 16; // of a chunk's size: 64 bits
constexpr std::string_view token_marks = "!#$%&'*+-.^_`|~";

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

constexpr std::size_t byte_values = 256;

constexpr std::array<bool, byte_values> make_token_bytes()
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz"
                                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
    std::array<bool, byte_values> made{};
    for (const std::string_view part :
         {letters, std::string_view("0123456789"), token_marks})
    {
        for (char c : part)
        {
            made[static_cast<unsigned char>(c)] = true;
        }
    }
    return made;
}

// "tchar" of RFC 9110, section 5.6.2.
bool is_token_byte(char c)
{
    static constexpr std::array<bool, byte_values> token_bytes = make_token_bytes();
    return token_bytes[static_cast<unsigned char>(c)];
}

// What a reason, a value or a chunk's extension may hold: no control byte but the tab.
bool is_text_byte(char c)
{
    constexpr unsigned char first_printed = 0x20;
    constexpr unsigned char del = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= first_printed && byte != del);
}

bool is_blank(char c)
{
    return c == ' ' || c == '\t';
}

// Returns 16 for a byte that is no hexadecimal digit.
unsigned hex_value(char c)
{
    constexpr unsigned ten = 10;
    if (is_digit(c))
    {
        return static_cast<unsigned>(c - '0');
    }
    if (c >= 'a' && c <= 'f')
    {
        return static_cast<unsigned>(c - 'a') + ten;
    }
    if (c >= 'A' && c <= 'F')
    {
        return static_cast<unsigned>(c - 'A') + ten;
    }
    return ten + 6;
}

} // namespace

std::size_t answer_line_check::add(std::string_view bytes)
{
    std::size_t n = 0;
    while (n < bytes.size() && !is_over_)
    {
        fault_ = check(bytes[n]);
        if (fault_ != answer_fault::none)
        {
            return n;
        }
        ++n;
    }
    return n;
}

answer_fault answer_line_check::check(char c)
{
    if (has_return_)
    {
        is_over_ = c == '\n';
        return is_over_ ? answer_fault::none : answer_fault::field_value;
    }
    if (c == '\r')
    {
        has_return_ = true;
        return check_end();
    }
    ++size_;
    switch (kind_)
    {
    case answer_line::status:
        return check_status(c);
    case answer_line::field:
        return check_field(c);
    case answer_line::chunk_size:
        return check_chunk_size(c);
    case answer_line::chunk_end:
        break;
    }
    return answer_fault::chunk;
}

answer_fault answer_line_check::check_status(char c)
{
    const std::size_t at = size_ - 1;
    if (at > status_line_start.size())
    {
        return is_text_byte(c) ? answer_fault::none : answer_fault::status_line;
    }
    if (at == status_line_start.size())
    {
        return c == ' ' ? answer_fault::none : answer_fault::status_line;
    }
    const bool is_number = status_line_start[at] == '#';
    if (is_number ? !is_digit(c) : c != status_line_start[at])
    {
        return answer_fault::status_line;
    }
    if (at >= status_at)
    {
        constexpr unsigned base = 10;
        status_ = status_ * base + hex_value(c);
    }
    const bool is_last = at + 1 == status_line_start.size();
    const bool is_valid = status_ >= min_status && status_ <= max_status;
    return is_last && !is_valid ? answer_fault::status_line : answer_fault::none;
}

answer_fault answer_line_check::check_field(char c)
{
    if (!is_in_name_)
    {
        return is_text_byte(c) ? answer_fault::none : answer_fault::field_value;
    }
    if (c == ':')
    {
        is_in_name_ = false;
        return size_ > 1 ? answer_fault::none : answer_fault::field_name;
    }
    return is_token_byte(c) ? answer_fault::none : answer_fault::field_name;
}

answer_fault answer_line_check::check_chunk_size(char c)
{
    if (is_in_extension_)
    {
        return is_text_byte(c) ? answer_fault::none : answer_fault::chunk;
    }
    const unsigned digit = hex_value(c);
    constexpr unsigned base = 16;
    if (is_in_size_ && digit < base)
    {
        ++size_digits_;
        chunk_size_ = chunk_size_ * base + digit;
        return size_digits_ <= max_size_digits ? answer_fault::none : answer_fault::chunk;
    }
    is_in_size_ = false;
    is_in_extension_ = c == ';';
    const bool is_allowed = is_in_extension_ || is_blank(c);
    return is_allowed && size_digits_ > 0 ? answer_fault::none : answer_fault::chunk;
}

// Whether the line may end here.
answer_fault answer_line_check::check_end() const
{
    switch (kind_)
    {
    case answer_line::status:
        return size_ >= status_line_start.size() ? answer_fault::none
                                                 : answer_fault::status_line;
    case answer_line::field:
        return is_empty() || !is_in_name_ ? answer_fault::none : answer_fault::field_name;
    case answer_line::chunk_size:
        return size_digits_ > 0 ? answer_fault::none : answer_fault::chunk;
    case answer_line::chunk_end:
        break;
    }
    return answer_fault::none;
}

} // namespace camphorrock
