#include "codec/journal_codec.hpp"

#include <charconv>
#include <cstdio>

namespace camphorrock
{
namespace
{

constexpr std::size_t number_digits = 16;
constexpr int hex_base = 16;

} // namespace

std::string journal_prefix(const shard_id& shard)
{
    return "/camphorrock/journal/" + shard.str() + "/";
}

std::string
journal_key(const shard_id& shard, const instance_id& router, std::uint64_t number)
{
    char digits[number_digits + 1];
    std::snprintf(
        digits, sizeof digits, "%016llx", static_cast<unsigned long long>(number));
    return journal_prefix(shard) + router.str() + "/" + digits;
}

result<stored_batch> parse_journal_key(const shard_id& shard, std::string_view key)
{
    std::string prefix = journal_prefix(shard);
    std::size_t slash = key.rfind('/');
    bool is_well_formed = key.starts_with(prefix) && slash != std::string_view::npos &&
                          slash > prefix.size() &&
                          key.size() - slash - 1 == number_digits;
    stored_batch found;
    if (is_well_formed)
    {
        const char* end = key.data() + key.size();
        auto [rest, ec] =
            std::from_chars(key.data() + slash + 1, end, found.number, hex_base);
        if (ec == std::errc() && rest == end)
        {
            std::string_view router = key.substr(prefix.size(), slash - prefix.size());
            found.router = instance_id(std::string(router));
            return found;
        }
    }
    return fail(error_code::invalid_argument,
                "not a journal key of shard " + shard.str() + ": " + std::string(key));
}

} // namespace camphorrock
