#pragma once

// The datagram in which a gateway tells others of its requests in flight: a MessagePack
// array [sender, number, [tag, requests, tag, requests, ...]].

#include "core/gateway/remote_loads.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

std::string encode_load_report(const load_report& report);

// None for bytes that encode_load_report does not produce.
std::optional<load_report> decode_load_report(std::string_view bytes);

} // namespace camphorrock
