#pragma once

// How many requests a server is given at once, learned from its answers. Starts at one,
// for a cold server, and rises towards the server's slots with good answers. An answer
// that sheds lowers it to what the server carried beside it, and above that level it
// rises slowly. Failures and timeouts halve it when they are more than a share of the
// recent answers. What a server reports of its own health plays no part: the slots are a
// ceiling.

#include "core/base/time.hpp"

#include <cstddef>

namespace camphorrock
{

struct adaptive_limit_options
{
    double start = 1;                       // limit of a server that is new
    double rise_per_answer = 0.1;           // added by a good answer
    double rise_per_second = 1;             // added with a good answer for the time
                                            // since the last one
    double probe_per_second = 2;            // all that is added at a level that was shed
    double bad_weight = 0.1;                // of one answer in the share of bad ones
    double max_bad_share = 0.3;             // of the answers, before a fall
    double fall_factor = 0.5;               // kept after a fall
    duration cool_down = milliseconds(100); // between two falls
};

class adaptive_limit
{
public:
    explicit adaptive_limit(adaptive_limit_options options);

    // Requests that may be in flight: at least 1 where slots > 0.
    std::size_t allowed(std::size_t slots) const;

    // A good or bad answer came.
    void observe(bool is_bad, std::size_t slots, time_point now);

    // The server shed a request while `others` more were in flight.
    void observe_shed(std::size_t others, time_point now);

private:
    void rise(std::size_t slots, time_point now);
    void fall(double to, time_point now);

    adaptive_limit_options options_;
    double limit_;
    double carried_;       // the level above which the server has shed; infinite if never
    double bad_share_ = 0; // of recent answers
    time_point no_fall_before_{};
    time_point last_good_{};
};

} // namespace camphorrock
