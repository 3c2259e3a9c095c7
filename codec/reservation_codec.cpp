#include "codec/reservation_codec.hpp"

#include "codec/named_message.hpp"

#include <cstdint>
#include <limits>

namespace camphorrock
{
namespace
{

constexpr const char* reserve_name = "reserve";
constexpr const char* reserved_name = "reserved";
constexpr const char* release_name = "release";
constexpr std::size_t max_message_bytes = 512;

nlohmann::json to_json(const reserve_request& it)
{
    return nlohmann::json::array(
        {reserve_name, it.wanted.server.value, it.wanted.id, it.reply_to.str()});
}

nlohmann::json to_json(const reserve_reply& it)
{
    return nlohmann::json::array({reserved_name, it.id, it.other_requests});
}

nlohmann::json to_json(const reserve_release& it)
{
    return nlohmann::json::array({release_name, it.held.server.value, it.held.id});
}

bool is_32_bit(const nlohmann::json& value)
{
    return value.is_number_unsigned() &&
           value.get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
}

reservation read_reservation(const nlohmann::json& value)
{
    return {server_tag{value[1].get<std::uint32_t>()}, value[2].get<std::uint64_t>()};
}

} // namespace

std::string encode_reservation(const reservation_message& message)
{
    return std::visit([](const auto& it) { return encode_named_message(to_json(it)); },
                      message);
}

std::optional<reservation_message> decode_reservation(std::string_view bytes)
{
    const auto message = decode_named_message(bytes, max_message_bytes);
    if (!message)
    {
        return std::nullopt;
    }
    const nlohmann::json& value = *message;
    const bool has_numbers = value.size() >= 3 && value[1].is_number_unsigned() &&
                             value[2].is_number_unsigned();
    if (!has_numbers)
    {
        return std::nullopt;
    }
    const auto& name = value[0].get_ref<const std::string&>();
    if (name == reserve_name && value.size() == 4 && is_32_bit(value[1]) &&
        value[3].is_string())
    {
        return reserve_request{read_reservation(value),
                               endpoint(value[3].get<std::string>())};
    }
    if (name == reserved_name && value.size() == 3 && is_32_bit(value[2]))
    {
        return reserve_reply{value[1].get<std::uint64_t>(), value[2].get<unsigned>()};
    }
    if (name == release_name && value.size() == 3 && is_32_bit(value[1]))
    {
        return reserve_release{read_reservation(value)};
    }
    return std::nullopt;
}

} // namespace camphorrock
