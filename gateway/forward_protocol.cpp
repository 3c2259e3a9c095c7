#include "gateway/forward_protocol.hpp"

#include "core/base/enum_names.hpp"
#include "core/base/number_text.hpp"
#include "net/http_status.hpp"

#include <algorithm>
#include <cstdint>

namespace camphorrock
{
namespace
{

constexpr std::string_view any_version = "/forward/";
constexpr std::string_view this_version = "/forward/v1/";
constexpr const char* end_header = "Camphorrock-Forward";

constexpr enum_names<forward_end, 9> names{{{
    {forward_end::answered, "answered"},
    {forward_end::not_run, "not_run"},
    {forward_end::unreachable, "unreachable"},
    {forward_end::unknown, "unknown"},
    {forward_end::cut_off, "cut_off"},
    {forward_end::full, "full"},
    {forward_end::stopping, "stopping"},
    {forward_end::behind, "behind"},
    {forward_end::unsupported, "unsupported"},
}}};

// Removes and returns the text before the next slash, and leaves that slash.
std::string_view take_part(std::string_view& text)
{
    const std::size_t n = std::min(text.find('/'), text.size());
    const std::string_view part = text.substr(0, n);
    text.remove_prefix(n);
    return part;
}

} // namespace

std::string_view name_of(forward_end value)
{
    return names.name(value);
}

bool is_declined(forward_end value)
{
    switch (value)
    {
    case forward_end::cut_off:
    case forward_end::full:
    case forward_end::stopping:
    case forward_end::behind:
    case forward_end::unsupported:
        return true;
    case forward_end::answered:
    case forward_end::not_run:
    case forward_end::unreachable:
    case forward_end::unknown:
        break;
    }
    return false;
}

bool is_forwardable(std::string_view target)
{
    return target.starts_with('/');
}

bool is_forward_target(std::string_view target)
{
    return target.starts_with(any_version);
}

std::string format_forward_target(const forward_target& it)
{
    return std::string(this_version) + std::to_string(it.terms.config.value) + "/" +
           std::to_string(it.terms.max_attempts) + it.target;
}

std::optional<forward_target> parse_forward_target(std::string_view target)
{
    if (!target.starts_with(this_version))
    {
        return std::nullopt;
    }
    target.remove_prefix(this_version.size());
    const auto config = parse_number<std::uint64_t>(take_part(target));
    if (!config || target.empty())
    {
        return std::nullopt;
    }
    target.remove_prefix(1);
    const auto attempts = parse_number<unsigned>(take_part(target));
    if (!attempts || *attempts == 0 || !is_forwardable(target))
    {
        return std::nullopt;
    }
    return forward_target{{config_version{*config}, *attempts}, std::string(target)};
}

http_response make_decline(forward_end reason)
{
    http_response made;
    made.status = http_status::unavailable;
    set_forward_end(made, reason);
    return made;
}

void set_forward_end(http_response& answer, forward_end end)
{
    answer.headers.set(end_header, std::string(name_of(end)));
}

forward_end take_forward_end(http_response& answer)
{
    const auto found = answer.headers.find(end_header);
    if (!found)
    {
        const bool is_refusal = answer.status >= http_status::bad_request;
        return is_refusal ? forward_end::unsupported : forward_end::unknown;
    }
    const std::optional<forward_end> end = names.value(*found);
    answer.headers.remove(end_header);
    return end.value_or(forward_end::unknown);
}

} // namespace camphorrock
