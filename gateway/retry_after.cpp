#include "gateway/retry_after.hpp"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace camphorrock
{

duration parse_retry_after(std::string_view text)
{
    const bool is_decimal =
        !text.empty() && text.find_first_not_of("0123456789.") == std::string_view::npos;
    if (!is_decimal)
    {
        return duration::zero();
    }
    double value = 0;
    const char* end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, value);
    if (ec == std::errc::result_out_of_range)
    {
        return max_server_pause;
    }
    if (ec != std::errc() || rest != end)
    {
        return duration::zero();
    }
    const double longest = std::chrono::duration<double>(max_server_pause).count();
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(value, longest)));
}

} // namespace camphorrock
