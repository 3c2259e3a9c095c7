#pragma once

// The datagram in which a gateway reports to the assigner the service times that it has
// measured at owners of keys: a MessagePack array
//
//     ["service_times", [tag, answers, total in microseconds, tag, ...]]
//
// A build that does not know the message ignores it.

#include "core/gateway/owners/owner_service_times.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorrock
{

// A longer report is sent in several datagrams.
constexpr std::size_t max_service_times_in_datagram = 100;

std::string encode_service_times(const std::vector<server_service_time>& measured);

// Empty if the bytes are no such message.
std::optional<std::vector<server_service_time>>
decode_service_times(std::string_view bytes);

} // namespace camphorrock
