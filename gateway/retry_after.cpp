#include "gateway/retry_after.hpp"

#include "core/base/number_text.hpp"

#include <algorithm>
#include <optional>

namespace camphorrock
{

duration parse_retry_after(std::string_view text)
{
    const std::optional<double> value = parse_decimal(text);
    if (!value)
    {
        return duration::zero();
    }
    const double longest = std::chrono::duration<double>(max_server_pause).count();
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(*value, longest)));
}

} // namespace camphorrock
