#include "core/base/enum_names.hpp"
#include "core/once/once_actions.hpp"

namespace camphorrock
{
namespace
{

constexpr enum_names<once_reason, 10> names{{{
    {once_reason::finished, "finished"},
    {once_reason::not_scheduled, "not_scheduled"},
    {once_reason::different_request, "different_request"},
    {once_reason::invalid_id, "invalid_id"},
    {once_reason::store_unavailable, "store_unavailable"},
    {once_reason::over_budget, "over_budget"},
    {once_reason::deadline, "deadline"},
    {once_reason::unresolved, "unresolved"},
    {once_reason::expired, "expired"},
    {once_reason::answer_not_kept, "answer_not_kept"},
}}};

} // namespace

std::string_view name_of(once_reason value)
{
    return names.name(value);
}

} // namespace camphorrock
