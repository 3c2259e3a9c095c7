#include "fakes/server/server_refusal.hpp"

#include "codec/json_text.hpp"
#include "net/http_status.hpp"

#include <json/value.h>

#include <array>

namespace camphorrock
{
namespace
{

struct refusal_row
{
    server_refusal reason;
    int status;
    const char* type;
    const char* title;
};

constexpr std::array rows{
    refusal_row{
        server_refusal::bad_request, 400, "bad-target", "The target is not valid"},
    refusal_row{
        server_refusal::not_owner, 409, "not-owner", "No grant covers the request"},
    refusal_row{
        server_refusal::overloaded, 503, "overloaded", "The server is overloaded"},
    refusal_row{server_refusal::draining, 503, "draining", "The server is stopping"},
    refusal_row{server_refusal::deadline_passed,
                504,
                "deadline-passed",
                "The deadline has passed"},
};

} // namespace

http_response to_response(server_refusal reason, const std::string& detail)
{
    const refusal_row& row = rows[static_cast<std::size_t>(reason)];
    Json::Value body;
    body["type"] = std::string("urn:camphorrock:server:") + row.type;
    body["title"] = row.title;
    body["status"] = row.status;
    body["detail"] = detail;
    http_response answer;
    answer.status = row.status;
    answer.headers.add("Content-Type", "application/problem+json");
    answer.headers.add("Camphorrock-Outcome", "not-run");
    if (row.status == http_status::unavailable)
    {
        answer.headers.add("Retry-After", "1");
    }
    answer.body = write_json(body);
    return answer;
}

} // namespace camphorrock
