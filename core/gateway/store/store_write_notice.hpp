#pragma once

#include <cstdint>

namespace camphorrock
{

// A gateway tells those that watch the store that it wrote a key which nobody watches.
struct store_write_notice
{
    std::uint64_t revision = 0; // of the write, as store_revision::value

    bool operator==(const store_write_notice&) const = default;
};

} // namespace camphorrock
