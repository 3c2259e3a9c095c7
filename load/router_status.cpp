#include "load/router_status.hpp"

#include <charconv>

namespace camphorrock
{

std::optional<std::string> metric_value(std::string_view text, std::string_view name)
{
    while (!text.empty())
    {
        std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        bool is_wanted = line.starts_with(name) && line.size() > name.size() &&
                         line[name.size()] == ' ';
        if (is_wanted)
        {
            return std::string(line.substr(name.size() + 1));
        }
    }
    return std::nullopt;
}

bool read_router_status(std::string_view metrics, router_config_record& out)
{
    std::optional<std::string> version =
        metric_value(metrics, "camphorrock_config_version");
    std::optional<std::string> is_current =
        metric_value(metrics, "camphorrock_config_current");
    std::optional<std::string> started =
        metric_value(metrics, "camphorrock_started_seconds");
    if (!version || !is_current || !started)
    {
        return false;
    }
    const char* end = version->data() + version->size();
    auto [at, ec] = std::from_chars(version->data(), end, out.version.value);
    out.is_serving = *is_current == "1";
    out.process = *started;
    return ec == std::errc() && at == end;
}

} // namespace camphorrock
