#pragma once

// How many requests a server is given at once, learned from its answers. Starts at one,
// for a cold server, and rises towards the server's slots with good answers; falls by
// half when the server sheds, fails or lets requests time out, at most once in
// `cool_down`. What a server reports of its own health plays no part: the slots are a
// ceiling only.

#include "core/admission/service_report.hpp"
#include "core/base/time.hpp"

#include <cstddef>

namespace camphorrock
{

struct adaptive_limit_options
{
    double start = 1;             // limit of a server that is new
    double rise_per_answer = 0.1; // added by a good answer, for each slot in use
    double fall_factor = 0.5;     // kept after a bad answer
    duration cool_down = milliseconds(100); // between two falls
};

class adaptive_limit
{
public:
    explicit adaptive_limit(adaptive_limit_options options);

    // Requests that may be in flight: at least 1 where slots > 0.
    std::size_t allowed(std::size_t slots) const;

    void observe(answer_kind answer, std::size_t slots, time_point now);

private:
    adaptive_limit_options options_;
    double limit_;
    time_point no_fall_before_{};
};

} // namespace camphorrock
