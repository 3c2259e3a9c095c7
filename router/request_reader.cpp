#include "router/request_reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace camphorrock
{
namespace
{

constexpr std::array<std::string_view, 5> repeatable_methods{
    "GET", "HEAD", "OPTIONS", "PUT", "TRACE"};

bool is_repeatable_method(std::string_view method)
{
    return std::find(repeatable_methods.begin(), repeatable_methods.end(), method) !=
           repeatable_methods.end();
}

bool is_token(std::string_view text, std::size_t max_size)
{
    auto is_printable = [](char c)
    {
        return c > ' ' && c < '\x7f';
    };
    return !text.empty() && text.size() <= max_size &&
           std::all_of(text.begin(), text.end(), is_printable);
}

// Returns the part of the path after the key, without the query.
std::string_view path_after_key(const request_target& target)
{
    std::string_view rest = target.rest;
    return rest.substr(0, rest.find('?'));
}

std::optional<problem> read_caller(const http_request& from, live_request& request)
{
    std::string_view name = from.headers.find(caller_header).value_or("anonymous");
    if (!is_token(name, max_caller_size))
    {
        return problem{refusal::bad_header,
                       "Camphorrock-Caller must be 1 to 64 printable characters",
                       {}};
    }
    request.caller = caller_name(std::string(name));
    return std::nullopt;
}

std::optional<problem> read_deadline(const http_request& from,
                                     const request_rules& rules,
                                     time_point now,
                                     live_request& request)
{
    request.arrived = now;
    request.deadline = now + rules.default_timeout;
    std::optional<std::string_view> text = from.headers.find(timeout_header);
    if (!text)
    {
        return std::nullopt;
    }
    std::int64_t value = 0;
    auto [rest, ec] = std::from_chars(text->data(), text->data() + text->size(), value);
    bool is_whole = ec == std::errc() && rest == text->data() + text->size();
    if (!is_whole || value < 1)
    {
        return problem{
            refusal::bad_header, "Camphorrock-Timeout-Ms must be a positive integer", {}};
    }
    milliseconds longest = std::chrono::duration_cast<milliseconds>(rules.max_timeout);
    request.deadline = now + std::min(milliseconds(value), longest);
    return std::nullopt;
}

std::optional<problem>
read_id(const http_request& from, const service_config& service, live_request& request)
{
    std::optional<std::string_view> id = from.headers.find(id_header);
    if (id && !is_token(*id, max_id_size))
    {
        return problem{refusal::bad_header,
                       "Idempotency-Key must be 1 to 128 printable characters",
                       {}};
    }
    if (id)
    {
        request.id = request_id(std::string(*id));
        return std::nullopt;
    }
    bool is_repeatable =
        is_repeatable_method(from.method) ||
        matches(service.repeatable_routes, from.method, path_after_key(request.target));
    if (!is_repeatable)
    {
        return problem{
            refusal::id_required, from.method + " needs an Idempotency-Key", {}};
    }
    return std::nullopt;
}

// Sets the route class. Requests with the same method and first path segment are expected
// to take about the same time, and so are those of one declared long route, which may be
// more specific.
void classify(const service_config& service, live_request& request)
{
    std::string_view path = path_after_key(request.target);
    std::size_t end = path.size() > 1 ? path.find('/', 1) : std::string_view::npos;
    std::string_view class_path = path.substr(0, end);
    if (const route_pattern* declared =
            find_match(service.long_routes, request.method, path))
    {
        request.is_declared_long = true;
        class_path = declared->prefix;
    }
    request.route = route_class(request.method + " " + std::string(class_path));
}

} // namespace

std::optional<problem> read_request(http_request from,
                                    const configuration& config,
                                    const request_rules& rules,
                                    time_point now,
                                    live_request& request)
{
    std::optional<request_target> target = parse_request_target(from.target);
    if (!target)
    {
        return problem{refusal::bad_target, {}, {}};
    }
    request.target = std::move(*target);
    request.target_text = std::move(from.target);
    const service_config* service = find_service(config, request.target.service);
    if (service == nullptr)
    {
        return problem{refusal::unknown_service, request.target.service.str(), {}};
    }
    if (auto fault = read_caller(from, request))
    {
        return fault;
    }
    if (auto fault = read_deadline(from, rules, now, request))
    {
        return fault;
    }
    if (auto fault = read_id(from, *service, request))
    {
        return fault;
    }
    request.method = std::move(from.method);
    request.headers = std::move(from.headers);
    request.body = std::move(from.body);
    classify(*service, request);
    return std::nullopt;
}

} // namespace camphorrock
