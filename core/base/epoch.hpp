#pragma once

// The version of a shard record in the store, used as the fencing token: a grant or
// request of a lower epoch is refused wherever a higher one has been seen. Zero is "never
// assigned".

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
