#include "core/base/key_hash.hpp"

#include <xxhash.h>

#include <charconv>
#include <cstdio>

namespace camphorrock
{
namespace
{

constexpr std::size_t hex_digits = 16;
constexpr int hex_base = 16;

std::optional<key_hash> parse_hash(std::string_view text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data(), end, value, hex_base);
    if (ec != std::errc() || rest != end)
    {
        return std::nullopt;
    }
    return key_hash{value};
}

} // namespace

key_hash hash_key(std::string_view key)
{
    return key_hash{XXH3_64bits(key.data(), key.size())};
}

std::string to_string(const hash_range& range)
{
    char buf[2 * hex_digits + 2];
    std::snprintf(buf,
                  sizeof buf,
                  "%016llx-%016llx",
                  static_cast<unsigned long long>(range.first.value),
                  static_cast<unsigned long long>(range.last.value));
    return buf;
}

std::optional<hash_range> parse_hash_range(std::string_view text)
{
    if (text.size() != 2 * hex_digits + 1 || text[hex_digits] != '-')
    {
        return std::nullopt;
    }
    std::optional<key_hash> first = parse_hash(text.substr(0, hex_digits));
    std::optional<key_hash> last = parse_hash(text.substr(hex_digits + 1));
    if (!first || !last || *last < *first)
    {
        return std::nullopt;
    }
    return hash_range{*first, *last};
}

} // namespace camphorrock
