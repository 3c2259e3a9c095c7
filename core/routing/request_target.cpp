#include "core/routing/request_target.hpp"

#include <algorithm>
#include <cctype>

namespace camphorrock
{
namespace
{

bool is_service_char(char c)
{
    unsigned char it = static_cast<unsigned char>(c);
    return std::isalnum(it) != 0 || c == '.' || c == '_' || c == '-';
}

std::optional<unsigned> hex_value(char c)
{
    if (c >= '0' && c <= '9')
    {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f')
    {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F')
    {
        return c - 'A' + 10;
    }
    return std::nullopt;
}

// Decodes the escape "%XY" at the start of `text`. Returns nullopt for a malformed escape
// and for a zero byte.
std::optional<char> decode_escape(std::string_view text)
{
    constexpr std::size_t escape_size = 3;
    if (text.size() < escape_size)
    {
        return std::nullopt;
    }
    std::optional<unsigned> high = hex_value(text[1]);
    std::optional<unsigned> low = hex_value(text[2]);
    bool is_valid = high && low && (*high != 0 || *low != 0);
    if (!is_valid)
    {
        return std::nullopt;
    }
    return static_cast<char>(*high * 16 + *low);
}

std::optional<std::string> decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        if (text[n] != '%')
        {
            decoded += text[n];
            continue;
        }
        std::optional<char> byte = decode_escape(text.substr(n));
        if (!byte)
        {
            return std::nullopt;
        }
        decoded += *byte;
        n += 2;
    }
    return decoded;
}

bool is_service(std::string_view name)
{
    return !name.empty() && name.size() <= max_service_name_size &&
           std::all_of(name.begin(), name.end(), is_service_char);
}

} // namespace

std::optional<request_target> parse_request_target(std::string_view text)
{
    if (text.empty() || text.front() != '/')
    {
        return std::nullopt;
    }
    text.remove_prefix(1);
    std::size_t slash = text.find('/');
    if (slash == std::string_view::npos || !is_service(text.substr(0, slash)))
    {
        return std::nullopt;
    }
    std::string_view after = text.substr(slash + 1);
    std::size_t key_end = std::min(after.find_first_of("/?"), after.size());
    std::optional<std::string> key = decode(after.substr(0, key_end));
    if (!key || key->empty() || key->size() > max_key_size)
    {
        return std::nullopt;
    }
    request_target target;
    target.service = service_name(std::string(text.substr(0, slash)));
    target.hash = hash_key(*key);
    target.key = std::move(*key);
    target.rest = std::string(after.substr(key_end));
    return target;
}

} // namespace camphorrock
