#include "net/answer_check.hpp"

#include "core/base/number_text.hpp"
#include "net/http_status.hpp"

#include <strings.h>

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace camphorrock
{
namespace
{

constexpr int first_final_status = 200;

bool is_chunked(std::string_view encoding)
{
    return strcasecmp(std::string(encoding).c_str(), "chunked") == 0;
}

} // namespace

answer_fault check_answer(int status, bool is_http_1_0, const http_headers& headers)
{
    const std::vector<std::string_view> lengths = headers.find_all("Content-Length");
    const std::vector<std::string_view> encodings = headers.find_all("Transfer-Encoding");
    if (!encodings.empty())
    {
        const bool is_only = encodings.size() == 1 && lengths.empty();
        const bool is_known = is_only && !is_http_1_0 && is_chunked(encodings.front());
        if (!is_known)
        {
            return answer_fault::encoding;
        }
    }
    std::uint64_t length = 0;
    if (!lengths.empty())
    {
        const auto stated = parse_number<std::uint64_t>(lengths.front());
        if (!stated || lengths.size() > 1)
        {
            return answer_fault::length;
        }
        length = *stated;
    }
    const bool has_no_body =
        status < first_final_status || status == http_status::no_content;
    const bool states_body = length > 0 || !encodings.empty();
    return has_no_body && states_body ? answer_fault::unasked_body : answer_fault::none;
}

std::size_t stated_size(std::size_t counted, std::uint64_t length)
{
    constexpr std::size_t largest = std::numeric_limits<std::size_t>::max();
    return length > largest - counted ? largest : counted + length;
}

} // namespace camphorrock
