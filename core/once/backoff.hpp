#pragma once

// When to call a failing service again: intervals double from `first` to `most`, each
// spread over half to all of its length so that instances do not call in step. The spread
// comes from the seed, so a run repeats exactly.

#include "core/base/time.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace camphorrock
{

class backoff
{
public:
    backoff(duration first, duration most, std::uint64_t seed)
        : first_(first), most_(most), interval_(first), random_(seed | 1)
    {
    }

    void on_failure(time_point now)
    {
        duration half = interval_ / 2;
        next_ =
            now + half + duration(draw() % static_cast<std::uint64_t>(half.count() + 1));
        interval_ = std::min(interval_ * 2, most_);
    }

    void on_success()
    {
        next_.reset();
        interval_ = first_;
    }

    // None while the last call succeeded.
    std::optional<time_point> next() const
    {
        return next_;
    }

    bool is_due(time_point now) const
    {
        return !next_ || *next_ <= now;
    }

private:
    // xorshift64
    std::uint64_t draw()
    {
        random_ ^= random_ << 13;
        random_ ^= random_ >> 7;
        random_ ^= random_ << 17;
        return random_;
    }

    duration first_;
    duration most_;
    duration interval_;
    std::uint64_t random_;
    std::optional<time_point> next_;
};

} // namespace camphorrock
