#include "gateway/own_answer.hpp"

#include "core/base/enum_names.hpp"
#include "net/http_status.hpp"

#include <cstdio>

namespace camphorrock
{
namespace
{

constexpr int bad_gateway = 502;
constexpr int gateway_timeout = 504;

constexpr enum_names<own_reason, 12> names{{{
    {own_reason::no_route, "no_route"},
    {own_reason::no_config, "no_config"},
    {own_reason::no_key, "no_key"},
    {own_reason::no_server, "no_server"},
    {own_reason::no_owner, "no_owner"},
    {own_reason::overloaded, "overloaded"},
    {own_reason::shed, "shed"},
    {own_reason::unreachable, "unreachable"},
    {own_reason::waited_too_long, "waited_too_long"},
    {own_reason::timed_out, "timed_out"},
    {own_reason::server_lost, "server_lost"},
    {own_reason::bad_answer, "bad_answer"},
}}};

int status_of(own_reason why)
{
    switch (why)
    {
    case own_reason::no_route:
        return http_status::not_found;
    case own_reason::no_key:
        return http_status::bad_request;
    case own_reason::timed_out:
        return gateway_timeout;
    case own_reason::server_lost:
    case own_reason::bad_answer:
        return bad_gateway;
    case own_reason::no_config:
    case own_reason::no_server:
    case own_reason::no_owner:
    case own_reason::overloaded:
    case own_reason::shed:
    case own_reason::unreachable:
    case own_reason::waited_too_long:
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

std::string_view name_of(own_reason why)
{
    return names.name(why);
}

bool is_not_run(own_reason why)
{
    return status_of(why) == http_status::unavailable;
}

http_response make_own_answer(own_reason why, std::optional<duration> retry_after)
{
    http_response made;
    made.status = status_of(why);
    made.headers.add("Content-Type", "application/problem+json");
    if (retry_after && is_not_run(why))
    {
        made.headers.add("Retry-After", seconds_text(*retry_after));
    }
    made.body = "{\"type\":\"" + std::string(name_of(why)) + "\"}\n";
    return made;
}

} // namespace camphorrock
