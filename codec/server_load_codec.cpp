#include "codec/server_load_codec.hpp"

#include "codec/named_message.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr const char* loads_name = "server_loads";
constexpr std::size_t fields_per_report = 7;
constexpr std::size_t max_message_bytes = std::size_t{4} * 1024;
constexpr std::uint64_t max_slowness = 100000; // percent; bounded further below
constexpr std::uint64_t max_tag = 0xffffffff;

// The figures of one report, or nullopt if one of them is out of range.
std::optional<aged_server_report> read_report(const nlohmann::json& rows,
                                              std::size_t first)
{
    bool is_valid = true;
    const auto figure = [&](std::size_t n, std::uint64_t most) -> std::uint64_t
    {
        const nlohmann::json& it = rows[first + n];
        const std::uint64_t value = it.is_number_unsigned() ? it.get<std::uint64_t>() : 0;
        is_valid = is_valid && it.is_number_unsigned() && value <= most;
        return value;
    };
    const auto small = [&](std::size_t n, std::uint64_t most)
    {
        return static_cast<unsigned>(std::min(figure(n, most), most));
    };
    aged_server_report made;
    made.server.value = small(0, max_tag);
    made.incarnation.started_ms = figure(1, ~std::uint64_t{0});
    made.load.running = small(2, max_reported_requests);
    made.load.waiting = small(3, max_reported_requests);
    made.load.slots = small(4, max_reported_requests);
    made.load.slowness_percent = small(5, max_slowness);
    made.load = with_bounded_slowness(made.load);
    const auto max_age = static_cast<std::uint64_t>(max_server_load_age.count());
    made.age =
        duration(static_cast<duration::rep>(std::min(figure(6, max_age), max_age)));
    return is_valid ? std::optional(made) : std::nullopt;
}

} // namespace

std::string encode_server_loads(const server_loads_notice& notice)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const aged_server_report& it : notice.reports)
    {
        rows.push_back(it.server.value);
        rows.push_back(it.incarnation.started_ms);
        rows.push_back(it.load.running);
        rows.push_back(it.load.waiting);
        rows.push_back(it.load.slots);
        rows.push_back(it.load.slowness_percent);
        rows.push_back(static_cast<std::uint64_t>(
            std::clamp(it.age, duration::zero(), max_server_load_age).count()));
    }
    return encode_named_message(nlohmann::json::array(
        {loads_name, notice.sender, notice.sequence_number, std::move(rows)}));
}

std::optional<server_loads_notice> decode_server_loads(std::string_view bytes)
{
    const auto value = decode_named_message(bytes, max_message_bytes);
    const bool is_notice = value && value->size() == 4 && (*value)[0] == loads_name &&
                           (*value)[1].is_number_unsigned() &&
                           (*value)[2].is_number_unsigned() && (*value)[3].is_array();
    if (!is_notice)
    {
        return std::nullopt;
    }
    const nlohmann::json& rows = (*value)[3];
    if (rows.size() % fields_per_report != 0 ||
        rows.size() / fields_per_report > max_server_loads)
    {
        return std::nullopt;
    }
    server_loads_notice made;
    made.sender = (*value)[1].get<std::uint64_t>();
    made.sequence_number = (*value)[2].get<std::uint64_t>();
    for (std::size_t n = 0; n < rows.size(); n += fields_per_report)
    {
        if (const auto report = read_report(rows, n))
        {
            made.reports.push_back(*report);
        }
    }
    return made;
}

} // namespace camphorrock
