#include "codec/named_message.hpp"

namespace camphorrock
{

std::string encode_named_message(const nlohmann::json& message)
{
    std::string bytes;
    nlohmann::json::to_msgpack(message, bytes);
    return bytes;
}

std::optional<nlohmann::json> decode_named_message(std::string_view bytes,
                                                   std::size_t max_bytes)
{
    if (bytes.size() > max_bytes)
    {
        return std::nullopt;
    }
    nlohmann::json value = nlohmann::json::from_msgpack(bytes, true, false);
    const bool has_name = value.is_array() && value.size() >= 2 && value[0].is_string();
    return has_name ? std::optional(std::move(value)) : std::nullopt;
}

} // namespace camphorrock
