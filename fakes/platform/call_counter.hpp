#pragma once

// Counts the calls of one kind: in all, within the last whole second, and in the busiest
// second so far.

#include "core/base/time.hpp"

#include <cstdint>

namespace camphorrock::fakes
{

class call_counter
{
public:
    void count(time_point now);

    std::uint64_t total() const
    {
        return total_;
    }

    // Calls within the whole second before the current one.
    std::uint64_t last_second(time_point now);

    std::uint64_t busiest_second() const
    {
        return busiest_;
    }

private:
    void move_to(time_point now);

    std::uint64_t total_ = 0;
    std::uint64_t busiest_ = 0;
    std::int64_t second_ = 0; // the one that current_ counts
    std::uint64_t current_ = 0;
    std::uint64_t last_ = 0;
};

} // namespace camphorrock::fakes
