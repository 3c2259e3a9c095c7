#include "codec/service_time_codec.hpp"

#include "codec/array_reader.hpp"
#include "codec/named_message.hpp"

#include <limits>

namespace camphorrock
{
namespace
{

constexpr const char* message_name = "service_times";
constexpr std::size_t fields_per_row = 3;
constexpr std::size_t max_message_bytes = std::size_t{16} * 1024;
constexpr duration longest_total = seconds(3600);
constexpr std::uint64_t max_tag = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t max_answers = std::numeric_limits<std::uint16_t>::max();

} // namespace

std::string encode_service_times(const std::vector<server_service_time>& measured)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const server_service_time& it : measured)
    {
        rows.push_back(it.server.value);
        rows.push_back(it.answers);
        rows.push_back(it.total.count());
    }
    return encode_named_message(nlohmann::json::array({message_name, std::move(rows)}));
}

std::optional<std::vector<server_service_time>>
decode_service_times(std::string_view bytes)
{
    const std::optional<nlohmann::json> value =
        decode_named_message(bytes, max_message_bytes);
    const bool is_report = value && value->size() == 2 && (*value)[0] == message_name &&
                           (*value)[1].is_array() &&
                           (*value)[1].size() % fields_per_row == 0;
    if (!is_report)
    {
        return std::nullopt;
    }
    const nlohmann::json& rows = (*value)[1];
    array_reader reader(rows, 0, longest_total);
    std::vector<server_service_time> made(rows.size() / fields_per_row);
    bool is_in_range = true;
    for (server_service_time& it : made)
    {
        const std::uint64_t tag = reader.number();
        const std::uint64_t answers = reader.number();
        is_in_range = is_in_range && tag <= max_tag && answers <= max_answers;
        it.server = server_tag{static_cast<std::uint32_t>(tag)};
        it.answers = static_cast<unsigned>(answers);
        it.total = reader.time();
    }
    const bool is_valid = is_in_range && (made.empty() || reader.is_complete());
    return is_valid ? std::optional(made) : std::nullopt;
}

} // namespace camphorrock
