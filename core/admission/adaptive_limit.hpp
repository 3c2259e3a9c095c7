#pragma once

// Limits how many requests may be in flight to one server, adjusted by the server's
// answers. The limit starts at `initial_limit`, 1 by default, for a server that is cold,
// and grows towards the server's slots with successful answers. When the server sheds a
// request, the limit drops to the number of other requests in flight, and grows only
// slowly above that number from then on. Failures (answers that failed, or came too late)
// halve the limit when their fraction of the recent answers is above
// `max_failure_fraction`. The server's own reports of its health are not used, except
// that its slots are an upper bound of the limit.

#include "core/base/time.hpp"

#include <cstddef>

namespace camphorrock
{

struct adaptive_limit_options
{
    double initial_limit = 1;             // for a new server
    double increase_per_success = 0.1;    // added for each success
    double increase_per_second = 1;       // also added, for the time since the
                                          // last success, at most 1 s
    double probe_increase_per_second = 2; // replaces both at or above a limit at which
                                          // the server has shed
    double failure_weight = 0.1;          // weight of one answer in the moving average
    double max_failure_fraction = 0.3;    // decreases the limit when exceeded
    double decrease_factor = 0.5;         // multiplies the limit after failures
    duration min_decrease_interval = milliseconds(100); // between two decreases
};

class adaptive_limit
{
public:
    explicit adaptive_limit(adaptive_limit_options options);

    // The number of requests that may be in flight to a server with `slots` slots: from 1
    // to `slots`, or 0 if `slots` is 0.
    std::size_t limit_for(std::size_t slots) const;

    // Records an answer of the server, or the lack of one as a failure.
    void observe(bool is_failure, std::size_t slots, time_point now);

    // Records that the server shed a request while `other_in_flight` other requests were
    // in flight.
    void observe_shed(std::size_t other_in_flight, time_point now);

private:
    void increase(std::size_t slots, time_point now);
    void decrease(double target, time_point now);

    adaptive_limit_options options_;
    double limit_;
    double shed_threshold_;         // the limit grows slowly from here on, because the
                                    // server has shed above it; infinite if it never has
    double failure_fraction_ = 0;   // moving average over the answers
    time_point next_decrease_at_{}; // no decrease before
    time_point last_success_at_{};
};

} // namespace camphorrock
