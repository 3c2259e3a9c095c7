#include "core/admission/queue_action.hpp"

#include "core/base/enum_names.hpp"

namespace camphorrock
{
namespace
{

constexpr enum_names<refusal_reason, 3> reason_names{{{
    {refusal_reason::deadline, "deadline"},
    {refusal_reason::queue_full, "queue_full"},
    {refusal_reason::no_slots, "no_slots"},
}}};

} // namespace

std::string_view name_of(refusal_reason value)
{
    return reason_names.name(value);
}

} // namespace camphorrock
