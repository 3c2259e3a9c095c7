#include "fakes/platform/call_kind.hpp"

#include "core/base/enum_names.hpp"
#include "store/etcd_json.hpp"

namespace camphorrock::fakes
{
namespace
{

constexpr enum_names<call_kind, call_kind_count> names{{{
    {call_kind::range, "range"},
    {call_kind::txn, "txn"},
    {call_kind::lease_grant, "lease_grant"},
    {call_kind::lease_keepalive, "lease_keepalive"},
    {call_kind::lease_revoke, "lease_revoke"},
    {call_kind::watch, "watch"},
    {call_kind::list_read, "list_read"},
    {call_kind::list_write, "list_write"},
}}};

constexpr enum_names<call_kind, 6> targets{{{
    {call_kind::range, etcd_target::range},
    {call_kind::txn, etcd_target::txn},
    {call_kind::lease_grant, etcd_target::lease_grant},
    {call_kind::lease_keepalive, etcd_target::lease_keepalive},
    {call_kind::lease_revoke, etcd_target::lease_revoke},
    {call_kind::watch, etcd_target::watch},
}}};

} // namespace

std::string_view name_of(call_kind value)
{
    return names.name(value);
}

bool is_write(call_kind value)
{
    return value != call_kind::range && value != call_kind::watch &&
           value != call_kind::list_read;
}

std::optional<call_kind> kind_of(const http_request& request)
{
    if (request.method == "POST")
    {
        return targets.value(request.target);
    }
    if (request.method == "GET" && request.target == "/instances")
    {
        return call_kind::list_read;
    }
    if ((request.method == "PUT" || request.method == "DELETE") &&
        request.target.starts_with("/instances/"))
    {
        return call_kind::list_write;
    }
    return std::nullopt;
}

} // namespace camphorrock::fakes
