#pragma once

// Counts calls: in total, in the last whole second, and in the busiest second so far.
// Seconds are whole seconds of the time that the caller passes.

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

    // Returns the number of calls in the whole second before the one of `now`.
    std::uint64_t last_second(time_point now);

    // Returns the number of calls in the busiest second so far.
    std::uint64_t busiest_second() const
    {
        return busiest_count_;
    }

private:
    void advance_to(time_point now);

    std::uint64_t total_ = 0;
    std::uint64_t busiest_count_ = 0;
    std::int64_t current_second_ = 0; // since the clock's epoch
    std::uint64_t current_count_ = 0; // calls in current_second_
    std::uint64_t last_count_ = 0;    // calls in the second before it
};

} // namespace camphorrock::fakes
