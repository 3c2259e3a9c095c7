#pragma once

// The number by which a queue and its owner speak of one request. The owner draws it and
// uses each number once.

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
