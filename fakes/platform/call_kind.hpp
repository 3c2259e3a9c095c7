#pragma once

// The kinds of calls that the fake platform serves and counts.

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

inline constexpr std::size_t call_kind_count = 8;

std::string_view name_of(call_kind value);

// Returns true for calls that change the state of the store or of the instance list.
bool is_write(call_kind value);

// Returns the kind of call of a request, by its method and path, or nullopt if the
// platform has no such call.
std::optional<call_kind> kind_of(const http_request& request);

} // namespace camphorrock::fakes
