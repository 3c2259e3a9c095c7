#pragma once

// The datagram of a links_notice: ["links", from, is_cut_off] in MessagePack.

#include "core/gateway/links/link_messages.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

std::string encode_links_notice(const links_notice& notice);

// Empty for bytes that are no such message.
std::optional<links_notice> decode_links_notice(std::string_view bytes);

} // namespace camphorrock
