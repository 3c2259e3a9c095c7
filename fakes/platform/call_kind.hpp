#pragma once

// The calls that the platform counts.

#include "net/http_message.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace camphorrock::fakes
{

enum class call_kind
{
    range,
    txn,
    lease_grant,
    lease_keepalive,
    lease_revoke,
    watch,
    list_read,
    list_write,
};

inline constexpr std::size_t call_kinds = 8;

std::string_view name_of(call_kind value);

// True for the calls that change something.
bool is_change(call_kind value);

// The kind of call that a request makes, by its method and path; none for any other.
std::optional<call_kind> kind_of(const http_request& request);

} // namespace camphorrock::fakes
