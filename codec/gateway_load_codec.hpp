#pragma once

// The datagram in which a gateway tells others of its requests in flight: a MessagePack
// array [sender, number, [tag, requests, tag, requests, ...]].

#include "core/gateway/remote_loads.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

std::string encode_gateway_load(const gateway_load& report);

// None for bytes that encode_gateway_load does not produce.
std::optional<gateway_load> decode_gateway_load(std::string_view bytes);

} // namespace camphorrock
