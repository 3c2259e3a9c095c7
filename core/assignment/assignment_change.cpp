#include "core/assignment/assignment_change.hpp"

#include "core/base/enum_names.hpp"

namespace camphorrock
{
namespace
{

constexpr enum_names<change_kind, 10> names{{{
    {change_kind::created, "created"},
    {change_kind::move_started, "move-started"},
    {change_kind::move_ended, "move-ended"},
    {change_kind::scheduler_set, "scheduler-set"},
    {change_kind::server_added, "server-added"},
    {change_kind::server_removed, "server-removed"},
    {change_kind::voters_changed, "voters-changed"},
    {change_kind::split, "split"},
    {change_kind::merged, "merged"},
    {change_kind::step_dropped, "step-dropped"},
}}};

} // namespace

std::string_view name_of(change_kind value)
{
    return names.name(value);
}

} // namespace camphorrock
