#pragma once

// The JSON form in which the verdicts on requests that crash servers are kept in the
// store: an array of [fingerprint, crashes, Unix milliseconds of the verdict].

#include "core/gateway/retry/crash_messages.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorrock
{

struct stored_verdict
{
    suspect_row row;
    std::uint64_t at_ms = 0;

    bool operator==(const stored_verdict&) const = default;
};

std::string encode_verdicts(const std::vector<stored_verdict>& verdicts);

// Leaves out what cannot be read: a lost verdict costs a few crashes.
std::vector<stored_verdict> decode_verdicts(std::string_view text);

} // namespace camphorrock
