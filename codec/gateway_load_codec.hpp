#pragma once

// The datagram in which a gateway reports its requests in flight to other gateways: a
// MessagePack array [sender, number, [tag, requests, tag, requests, ...]].

#include "core/gateway/servers/remote_loads.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

std::string encode_gateway_load(const gateway_load& report);

// Returns nullopt for bytes that are not such an array, or that exceed 64 KiB.
std::optional<gateway_load> decode_gateway_load(std::string_view bytes);

} // namespace camphorrock
