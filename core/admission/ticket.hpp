#pragma once

// Identifies a request between a queue and its owner. The owner assigns the tickets and
// uses each one once.

#include <compare>
#include <cstdint>
#include <functional>

namespace camphorrock
{

struct ticket
{
    std::uint64_t value = 0;

    auto operator<=>(const ticket&) const = default;
};

} // namespace camphorrock

template<>
struct std::hash<camphorrock::ticket>
{
    std::size_t operator()(camphorrock::ticket id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.value);
    }
};
