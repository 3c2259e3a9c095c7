#include "load/violation.hpp"

#include "core/base/enum_names.hpp"

namespace camphorrock
{
namespace
{

constexpr enum_names<violation_kind, 8> names{{{
    {violation_kind::two_owners, "two-owners"},
    {violation_kind::run_not_owned, "run-not-owned"},
    {violation_kind::two_runs, "two-runs"},
    {violation_kind::ran_after_denial, "ran-after-denial"},
    {violation_kind::foreign_answer, "foreign-answer"},
    {violation_kind::cut_answer, "cut-answer"},
    {violation_kind::never_ran, "never-ran"},
    {violation_kind::no_outcome, "no-outcome"},
}}};

} // namespace

std::string_view name_of(violation_kind value)
{
    return names.name(value);
}

std::string to_string(const violation& found)
{
    return std::string(name_of(found.kind)) + " " + found.subject + ": " + found.text;
}

} // namespace camphorrock
