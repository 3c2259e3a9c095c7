#pragma once

// The version of a shard record in the store. It is the fencing token: whoever has seen
// an epoch refuses grants and requests with a lower one. Zero means "never assigned".

#include <compare>
#include <cstdint>

namespace camphorrock
{

struct epoch
{
    std::uint64_t value = 0;

    auto operator<=>(const epoch&) const = default;
};

} // namespace camphorrock
