#include "gateway/rate_limit_header.hpp"

#include "core/base/number_text.hpp"

#include <algorithm>

namespace camphorrock
{

limit_statement read_rate_limit(const http_headers& headers, std::string_view name)
{
    const std::vector<std::string_view> values = headers.find_all(name);
    const bool is_unambiguous =
        std::adjacent_find(values.begin(), values.end(), std::not_equal_to<>()) ==
        values.end();
    limit_statement made;
    made.is_present = !values.empty();
    if (made.is_present && is_unambiguous)
    {
        made.rate = parse_decimal(values.front());
    }
    if (made.rate)
    {
        made.rate = std::min(*made.rate, max_rate_limit);
    }
    return made;
}

} // namespace camphorrock
