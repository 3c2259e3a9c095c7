#include "codec/gateway_load_codec.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <vector>

namespace camphorrock
{
namespace
{

constexpr std::size_t max_report_bytes = std::size_t{64} * 1024;

} // namespace

std::string encode_gateway_load(const gateway_load& report)
{
    nlohmann::json servers = nlohmann::json::array();
    for (const server_requests& it : report.servers)
    {
        servers.push_back(it.server.value);
        servers.push_back(it.requests);
    }
    const nlohmann::json value = nlohmann::json::array(
        {report.sender, report.sequence_number, std::move(servers)});
    std::string bytes;
    nlohmann::json::to_msgpack(value, bytes);
    return bytes;
}

std::optional<gateway_load> decode_gateway_load(std::string_view bytes)
{
    if (bytes.size() > max_report_bytes)
    {
        return std::nullopt;
    }
    const nlohmann::json value = nlohmann::json::from_msgpack(bytes, true, false);
    const bool is_report =
        value.is_array() && value.size() == 3 && value[0].is_number_unsigned() &&
        value[1].is_number_unsigned() && value[2].is_array() && value[2].size() % 2 == 0;
    if (!is_report)
    {
        return std::nullopt;
    }
    gateway_load made;
    made.sender = value[0].get<std::uint64_t>();
    made.sequence_number = value[1].get<std::uint64_t>();
    const nlohmann::json& servers = value[2];
    for (std::size_t n = 0; n < servers.size(); n += 2)
    {
        if (!servers[n].is_number_unsigned() || !servers[n + 1].is_number_unsigned())
        {
            return std::nullopt;
        }
        made.servers.push_back({server_tag{servers[n].get<std::uint32_t>()},
                                servers[n + 1].get<unsigned>()});
    }
    return made;
}

} // namespace camphorrock
