#pragma once

// Exponential backoff with jitter for calls of a failing service. The interval doubles
// with each failure, from `initial_interval` to `max_interval`. The actual delay is drawn
// uniformly between half of the interval and all of it, so that instances do not retry in
// step. The jitter depends on the seed alone, so that a run is reproducible.

#include "core/base/time.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace camphorrock
{

class jittered_backoff
{
public:
    // `seed`: any value; differs between processes.
    jittered_backoff(duration initial_interval, duration max_interval, std::uint64_t seed)
        : initial_interval_(initial_interval), max_interval_(max_interval),
          interval_(initial_interval), random_state_(seed | 1)
    {
    }

    void on_failure(time_point now)
    {
        duration half = interval_ / 2;
        retry_at_ =
            now + half +
            duration(next_random() % static_cast<std::uint64_t>(half.count() + 1));
        interval_ = std::min(interval_ * 2, max_interval_);
    }

    void on_success()
    {
        retry_at_.reset();
        interval_ = initial_interval_;
    }

    // The time of the next call; none if the last call succeeded or there was none.
    std::optional<time_point> retry_at() const
    {
        return retry_at_;
    }

    bool is_due(time_point now) const
    {
        return !retry_at_ || *retry_at_ <= now;
    }

private:
    // xorshift64; the state must not be 0.
    std::uint64_t next_random()
    {
        random_state_ ^= random_state_ << 13;
        random_state_ ^= random_state_ >> 7;
        random_state_ ^= random_state_ << 17;
        return random_state_;
    }

    duration initial_interval_;
    duration max_interval_;
    duration interval_; // before jitter, for the next failure
    std::uint64_t random_state_;
    std::optional<time_point> retry_at_;
};

} // namespace camphorrock
