#include "codec/store_write_codec.hpp"

#include "codec/array_reader.hpp"
#include "codec/named_message.hpp"

namespace camphorrock
{
namespace
{

constexpr const char* store_write_name = "store_write";
constexpr std::size_t max_message_bytes = 64;

} // namespace

std::string encode_store_write(const store_write_notice& notice)
{
    return encode_named_message(
        nlohmann::json::array({store_write_name, notice.revision}));
}

std::optional<store_write_notice> decode_store_write(std::string_view bytes)
{
    const auto value = decode_named_message(bytes, max_message_bytes);
    if (!value || (*value)[0] != store_write_name)
    {
        return std::nullopt;
    }
    array_reader reader(*value, 1, duration::zero());
    const store_write_notice made{reader.number()};
    return reader.is_complete() ? std::optional(made) : std::nullopt;
}

} // namespace camphorrock
