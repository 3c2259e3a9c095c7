#include "net/answer_fault.hpp"

#include "core/base/enum_names.hpp"

namespace camphorrock
{
namespace
{

constexpr enum_names<answer_fault, 11> fault_names{{{
    {answer_fault::none, "none"},
    {answer_fault::status_line, "status_line"},
    {answer_fault::field_name, "field_name"},
    {answer_fault::field_value, "field_value"},
    {answer_fault::chunk, "chunk"},
    {answer_fault::length, "length"},
    {answer_fault::encoding, "encoding"},
    {answer_fault::unasked_body, "unasked_body"},
    {answer_fault::upgrade, "upgrade"},
    {answer_fault::not_skipped, "not_skipped"},
    {answer_fault::other, "other"},
}}};

} // namespace

std::string_view name_of(answer_fault value)
{
    return fault_names.name(value);
}

} // namespace camphorrock
