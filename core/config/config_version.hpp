#pragma once

// The version of the configuration document. It increases by one with each accepted patch
// and never decreases. Zero means that there is no document.

#include <compare>
#include <cstdint>

namespace camphorrock
{

struct config_version
{
    std::uint64_t value = 0;

    auto operator<=>(const config_version&) const = default;
};

} // namespace camphorrock
