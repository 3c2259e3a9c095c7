#include "net/request_check.hpp"

#include "core/base/number_text.hpp"
#include "net/http_status.hpp"

#include <strings.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace camphorrock
{
namespace
{

std::vector<std::string> values_of(const http_headers& headers, const char* name)
{
    std::vector<std::string> found;
    for (const http_header& it : headers.all())
    {
        if (strcasecmp(it.name.c_str(), name) == 0)
        {
            found.push_back(it.value);
        }
    }
    return found;
}

std::optional<request_refusal> check_length(const std::string& text, std::size_t bound)
{
    const std::optional<std::uint64_t> length = parse_number<std::uint64_t>(text);
    if (!length)
    {
        return request_refusal{http_status::bad_request,
                               "Content-Length is not a number"};
    }
    if (*length > bound)
    {
        return request_refusal{http_status::content_too_large, "the body is too large"};
    }
    return std::nullopt;
}

} // namespace

std::optional<request_refusal> check_request(const http_headers& headers,
                                             std::size_t header_bytes,
                                             const request_bounds& bounds)
{
    if (header_bytes > bounds.max_header_bytes)
    {
        return request_refusal{http_status::headers_too_large,
                               "the headers are too large"};
    }
    const std::vector<std::string> lengths = values_of(headers, "Content-Length");
    const std::vector<std::string> encodings = values_of(headers, "Transfer-Encoding");
    if (lengths.size() + encodings.size() > 1)
    {
        return request_refusal{http_status::bad_request,
                               "the length of the body is ambiguous"};
    }
    if (!encodings.empty() && strcasecmp(encodings.front().c_str(), "chunked") != 0)
    {
        return request_refusal{http_status::not_implemented, "unknown Transfer-Encoding"};
    }
    if (!lengths.empty())
    {
        return check_length(lengths.front(), bounds.max_body_bytes);
    }
    return std::nullopt;
}

} // namespace camphorrock
