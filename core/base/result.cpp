#include "core/base/result.hpp"

#include "core/base/enum_names.hpp"

namespace camphorrock
{
namespace
{

constexpr enum_names<error_code, 6> names{{{
    {error_code::invalid_argument, "invalid_argument"},
    {error_code::not_found, "not_found"},
    {error_code::conflict, "conflict"},
    {error_code::unavailable, "unavailable"},
    {error_code::refused, "refused"},
    {error_code::io, "io"},
}}};

} // namespace

std::string_view name_of(error_code code)
{
    return names.name(code);
}

} // namespace camphorrock
