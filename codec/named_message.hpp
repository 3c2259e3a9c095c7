#pragma once

// The frame of the datagrams between gateways: a MessagePack array whose first element is
// the name of the message. Its other elements are read with array_reader.

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

// `message` is such an array.
std::string encode_named_message(const nlohmann::json& message);

// Empty if the bytes are more than `max_bytes`, or no such array with further elements.
std::optional<nlohmann::json> decode_named_message(std::string_view bytes,
                                                   std::size_t max_bytes);

} // namespace camphorrock
