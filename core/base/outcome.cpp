#include "core/base/outcome.hpp"

#include "core/base/enum_names.hpp"

namespace camphorrock
{
namespace
{

constexpr enum_names<outcome, 3> names{{{
    {outcome::ran, "ran"},
    {outcome::not_run, "not-run"},
    {outcome::unknown, "unknown"},
}}};

} // namespace

std::string_view name_of(outcome value)
{
    return names.name(value);
}

std::optional<outcome> parse_outcome(std::string_view name)
{
    return names.value(name);
}

} // namespace camphorrock
