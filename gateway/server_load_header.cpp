#include "gateway/server_load_header.hpp"

#include "core/base/number_text.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace camphorrock
{
namespace
{

constexpr std::size_t max_header_bytes = 64;
constexpr std::size_t fields_without_slowness = 3;
constexpr std::size_t fields_with_slowness = 4;

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> made;
    for (std::size_t comma = text.find(','); comma != std::string_view::npos;
         comma = text.find(','))
    {
        made.push_back(text.substr(0, comma));
        text.remove_prefix(comma + 1);
    }
    made.push_back(text);
    return made;
}

// Blanks around a figure are permitted.
std::optional<unsigned> read_figure(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    text = text.substr(0, text.find_last_not_of(' ') + 1);
    return parse_number<unsigned>(text);
}

// Sets the load if the counts can be read.
void read_fields(const std::vector<std::string_view>& fields, load_statement& made)
{
    const auto running = read_figure(fields[0]);
    const auto waiting = read_figure(fields[1]);
    const auto slots = read_figure(fields[2]);
    if (!running || !waiting || !slots)
    {
        return;
    }
    server_load load{*running, *waiting, *slots};
    if (!is_plausible(load))
    {
        return;
    }
    made.is_readable = true;
    if (fields.size() == fields_with_slowness)
    {
        const auto slowness = read_figure(fields[3]).value_or(0);
        made.is_readable = slowness > 0;
        load.slowness_percent = slowness > 0 ? slowness : load.slowness_percent;
    }
    made.load = with_bounded_slowness(load);
}

} // namespace

load_statement read_server_load(const http_headers& headers, std::string_view name)
{
    const auto value = headers.find_unambiguous(name);
    load_statement made;
    made.is_present = headers.find(name).has_value();
    if (!value || value->size() > max_header_bytes)
    {
        return made;
    }
    const std::vector<std::string_view> fields = split(*value);
    const bool has_fields =
        fields.size() == fields_without_slowness || fields.size() == fields_with_slowness;
    if (has_fields)
    {
        read_fields(fields, made);
    }
    return made;
}

} // namespace camphorrock
