#pragma once

// Base64 with padding (RFC 4648, section 4), the form of keys and values in the store's
// JSON messages.

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

std::string to_base64(std::string_view bytes);

// Returns nullopt for text that to_base64 does not produce.
std::optional<std::string> parse_base64(std::string_view text);

} // namespace camphorrock
