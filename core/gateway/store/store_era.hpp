#pragma once

// The era of the store. It rises when the store comes back from a copy and has lost what
// it acknowledged since the copy was made. Numbers that order things across eras carry
// the era in their high bits, so that each number of an era is above all of the earlier
// ones, whatever of these is known.

#include <algorithm>
#include <compare>
#include <cstdint>

namespace camphorrock
{

struct store_era
{
    std::uint64_t value = 0; // 0: the store has no eras

    auto operator<=>(const store_era&) const = default;
};

// Epochs of grants stay below 2^53, which every JSON reader holds exactly.
constexpr std::uint64_t max_store_era = (std::uint64_t{1} << 20) - 1;
constexpr unsigned era_shift = 32;

// The lowest epoch or term of an era.
constexpr std::uint64_t first_number_of(store_era era)
{
    return std::min(era.value, max_store_era) << era_shift;
}

// The era in which an epoch or a term was given out.
constexpr store_era era_of_number(std::uint64_t number)
{
    return {number >> era_shift};
}

} // namespace camphorrock
