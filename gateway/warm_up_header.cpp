#include "gateway/warm_up_header.hpp"

#include "core/base/number_text.hpp"

#include <cstdint>

namespace camphorrock
{

warm_up_statement read_warm_up(const http_headers& headers, std::string_view name)
{
    const auto value = headers.find_unambiguous(name);
    warm_up_statement made;
    made.is_present = headers.find(name).has_value();
    if (!value)
    {
        return made;
    }
    constexpr std::chrono::milliseconds longest =
        std::chrono::duration_cast<std::chrono::milliseconds>(max_warm_up);
    const auto ms = parse_number<std::uint32_t>(*value);
    if (ms && *ms <= longest.count())
    {
        made.left = milliseconds(*ms);
    }
    return made;
}

} // namespace camphorrock
