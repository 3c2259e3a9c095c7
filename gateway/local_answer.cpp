#include "gateway/local_answer.hpp"

#include "core/base/enum_names.hpp"
#include "net/http_status.hpp"

#include <cstdio>

namespace camphorrock
{
namespace
{

constexpr int bad_gateway = 502;
constexpr int gateway_timeout = 504;

constexpr enum_names<local_answer_reason, 19> names{{{
    {local_answer_reason::no_route, "no_route"},
    {local_answer_reason::stopping, "stopping"},
    {local_answer_reason::no_config, "no_config"},
    {local_answer_reason::route_unreadable, "route_unreadable"},
    {local_answer_reason::no_key, "no_key"},
    {local_answer_reason::no_server, "no_server"},
    {local_answer_reason::no_owner, "no_owner"},
    {local_answer_reason::overloaded, "overloaded"},
    {local_answer_reason::paused, "paused"},
    {local_answer_reason::limited, "limited"},
    {local_answer_reason::full, "full"},
    {local_answer_reason::suspected, "suspected"},
    {local_answer_reason::shed, "shed"},
    {local_answer_reason::unreachable, "unreachable"},
    {local_answer_reason::waited_too_long, "waited_too_long"},
    {local_answer_reason::timed_out, "timed_out"},
    {local_answer_reason::server_lost, "server_lost"},
    {local_answer_reason::crashes_servers, "crashes_servers"},
    {local_answer_reason::unproven_refusal, "unproven_refusal"},
}}};

int status_of(local_answer_reason reason)
{
    switch (reason)
    {
    case local_answer_reason::no_route:
        return http_status::not_found;
    case local_answer_reason::no_key:
        return http_status::bad_request;
    case local_answer_reason::timed_out:
        return gateway_timeout;
    case local_answer_reason::server_lost:
    case local_answer_reason::crashes_servers:
    case local_answer_reason::unproven_refusal:
        return bad_gateway;
    case local_answer_reason::stopping:
    case local_answer_reason::no_config:
    case local_answer_reason::route_unreadable:
    case local_answer_reason::no_server:
    case local_answer_reason::no_owner:
    case local_answer_reason::overloaded:
    case local_answer_reason::paused:
    case local_answer_reason::limited:
    case local_answer_reason::full:
    case local_answer_reason::suspected:
    case local_answer_reason::shed:
    case local_answer_reason::unreachable:
    case local_answer_reason::waited_too_long:
        break;
    }
    return http_status::unavailable;
}

std::string seconds_text(duration value)
{
    char buf[32];
    const double n = std::chrono::duration<double>(value).count();
    std::snprintf(buf, sizeof buf, "%.2f", n);
    return buf;
}

} // namespace

std::string_view name_of(local_answer_reason reason)
{
    return names.name(reason);
}

bool is_not_run(local_answer_reason reason)
{
    return status_of(reason) == http_status::unavailable;
}

bool promises_not_run(int status)
{
    return status == http_status::request_timeout || status == http_status::misdirected ||
           status == http_status::too_many_requests || status == http_status::unavailable;
}

http_response make_local_answer(local_answer_reason reason,
                                std::optional<duration> retry_after)
{
    http_response made;
    made.status = status_of(reason);
    made.headers.add("Content-Type", "application/problem+json");
    if (retry_after && is_not_run(reason))
    {
        made.headers.add("Retry-After", seconds_text(*retry_after));
    }
    made.body = "{\"type\":\"" + std::string(name_of(reason)) + "\"}\n";
    return made;
}

} // namespace camphorrock
