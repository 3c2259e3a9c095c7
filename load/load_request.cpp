#include "load/load_request.hpp"

namespace camphorrock
{

http_request to_http(const load_request& request, const std::string& attempt)
{
    http_request out;
    out.method = request.id.empty() ? "GET" : "POST";
    const std::string path = request.is_long ? "/report" : "/sheet";
    out.target =
        "/" + request.service.str() + "/" + request.key + path + "?tag=" + request.tag;
    if (request.is_long)
    {
        out.target += "&work=long";
    }
    auto timeout = std::chrono::duration_cast<milliseconds>(request.timeout).count();
    out.headers.add("Camphorrock-Caller", request.row.caller);
    out.headers.add("Camphorrock-Timeout-Ms", std::to_string(timeout));
    out.headers.add("X-Attempt", attempt);
    if (!request.id.empty())
    {
        out.headers.add("Idempotency-Key", request.id.str());
        out.body = "{\"tag\":\"" + request.tag + "\"}";
    }
    return out;
}

} // namespace camphorrock
