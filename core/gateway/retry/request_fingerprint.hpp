#pragma once

// Tells whether two requests are the same one sent again, also by another client and at
// another gateway.
//
// Two fingerprints are kept, since a request may come back with another query, and two
// requests with the same path may differ by their query only. Whatever is known of either
// holds for the request.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

// The parts of a request that make it the same one. What differs between two attempts of
// one request, such as its id and the time that is left, is not among them.
struct request_parts
{
    std::string_view method;
    std::string_view host;
    std::string_view target; // path and query
    std::string_view key;    // empty for none
    std::string_view body;
};

struct request_fingerprint
{
    std::uint64_t whole = 0; // of all parts
    std::uint64_t path = 0;  // the same without query and key

    auto operator<=>(const request_fingerprint&) const = default;

    std::array<std::uint64_t, 2> both() const
    {
        return {whole, path};
    }
};

// The same on all gateways and in all builds. O(bytes).
request_fingerprint fingerprint_of(const request_parts& request);

// As 16 hexadecimal digits.
std::string fingerprint_text(std::uint64_t fingerprint);

// Both of them, with a hyphen between: "<whole>-<path>".
std::string text_of(const request_fingerprint& fingerprint);

// Reads the form of text_of(); returns nullopt for any other text.
std::optional<request_fingerprint> parse_fingerprint(std::string_view text);

} // namespace camphorrock
