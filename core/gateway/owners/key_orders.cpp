#include "core/gateway/owners/key_orders.hpp"

#include "core/base/enum_names.hpp"

namespace camphorrock
{
namespace
{

constexpr enum_names<order_kind, 2> kinds{{{
    {order_kind::grant, "grant"},
    {order_kind::release, "release"},
}}};

constexpr enum_names<order_end, 6> ends{{{
    {order_end::accepted, "accepted"},
    {order_end::stale, "stale"},
    {order_end::other_server, "other_server"},
    {order_end::rejected, "rejected"},
    {order_end::not_sent, "not_sent"},
    {order_end::no_answer, "no_answer"},
}}};

} // namespace

std::string_view name_of(order_kind value)
{
    return kinds.name(value);
}

std::string_view name_of(order_end value)
{
    return ends.name(value);
}

} // namespace camphorrock
