#pragma once

// The datagram of a store_write_notice: ["store_write", revision] in MessagePack.

#include "core/gateway/store/store_write_notice.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

std::string encode_store_write(const store_write_notice& notice);

// Empty for bytes that are no such message.
std::optional<store_write_notice> decode_store_write(std::string_view bytes);

} // namespace camphorrock
