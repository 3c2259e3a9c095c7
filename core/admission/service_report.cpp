#include "core/admission/service_report.hpp"

#include "core/base/enum_names.hpp"

namespace camphorrock
{
namespace
{

constexpr enum_names<answer_kind, 4> answer_names{{{
    {answer_kind::good, "good"},
    {answer_kind::failed, "failed"},
    {answer_kind::shed, "shed"},
    {answer_kind::timed_out, "timed_out"},
}}};

} // namespace

std::string_view name_of(answer_kind value)
{
    return answer_names.name(value);
}

} // namespace camphorrock
