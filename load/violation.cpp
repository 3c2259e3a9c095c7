#include "load/violation.hpp"

#include "core/base/enum_names.hpp"

namespace camphorrock
{
namespace
{

constexpr enum_names<violation_kind, 14> names{{{
    {violation_kind::two_owners, "two-owners"},
    {violation_kind::run_not_owned, "run-not-owned"},
    {violation_kind::two_runs, "two-runs"},
    {violation_kind::ran_after_denial, "ran-after-denial"},
    {violation_kind::foreign_answer, "foreign-answer"},
    {violation_kind::cut_answer, "cut-answer"},
    {violation_kind::never_ran, "never-ran"},
    {violation_kind::no_outcome, "no-outcome"},
    {violation_kind::version_fell, "version-fell"},
    {violation_kind::old_version, "old-version"},
    {violation_kind::two_on_one_base, "two-on-one-base"},
    {violation_kind::patch_lost, "patch-lost"},
    {violation_kind::patch_twice, "patch-twice"},
    {violation_kind::patch_after_denial, "patch-after-denial"},
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
