#include "codec/link_codec.hpp"

#include "codec/array_reader.hpp"
#include "codec/named_message.hpp"

namespace camphorrock
{
namespace
{

constexpr const char* links_name = "links";
constexpr std::size_t max_message_bytes = 256;

} // namespace

std::string encode_links_notice(const links_notice& notice)
{
    return encode_named_message(
        nlohmann::json::array({links_name, notice.from.str(), notice.is_cut_off}));
}

std::optional<links_notice> decode_links_notice(std::string_view bytes)
{
    const auto value = decode_named_message(bytes, max_message_bytes);
    if (!value || (*value)[0] != links_name)
    {
        return std::nullopt;
    }
    array_reader reader(*value, 1, duration::zero());
    links_notice made;
    made.from = endpoint(reader.text());
    made.is_cut_off = reader.flag();
    return reader.is_complete() ? std::optional(made) : std::nullopt;
}

} // namespace camphorrock
