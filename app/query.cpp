#include "app/query.hpp"

#include <charconv>
#include <cmath>

namespace camphorrock
{

std::optional<std::string_view> query_value(std::string_view target,
                                            std::string_view name)
{
    std::size_t at = target.find('?');
    while (at != std::string_view::npos)
    {
        target.remove_prefix(at + 1);
        at = target.find('&');
        std::string_view pair = target.substr(0, at);
        std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
        {
            return pair.substr(equals + 1);
        }
    }
    return std::nullopt;
}

std::optional<double> query_number(std::string_view target, std::string_view name)
{
    std::optional<std::string_view> text = query_value(target, name);
    if (!text)
    {
        return std::nullopt;
    }
    double value = 0;
    const char* end = text->data() + text->size();
    auto [rest, ec] = std::from_chars(text->data(), end, value);
    bool is_number = ec == std::errc() && rest == end && std::isfinite(value);
    return is_number && value >= 0 ? std::optional<double>(value) : std::nullopt;
}

} // namespace camphorrock
