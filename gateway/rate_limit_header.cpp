#include "gateway/rate_limit_header.hpp"

#include "core/base/number_text.hpp"

#include <algorithm>

namespace camphorrock
{

limit_statement read_rate_limit(const http_headers& headers, std::string_view name)
{
    const auto value = headers.find_unambiguous(name);
    limit_statement made;
    made.is_present = headers.find(name).has_value();
    if (value)
    {
        made.rate = parse_decimal(*value);
    }
    if (made.rate)
    {
        made.rate = std::min(*made.rate, max_rate_limit);
    }
    return made;
}

} // namespace camphorrock
