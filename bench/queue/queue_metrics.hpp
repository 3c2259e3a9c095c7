#pragma once

// The results of a trial. Those of several servers can be added up.

#include "core/base/time.hpp"

#include <cstddef>
#include <vector>

namespace camphorrock
{

// Requests of one kind, such as the short ones, that arrived in the measured windows.
struct kind_metrics
{
    std::size_t offered = 0;
    std::size_t within_deadline = 0;     // answered by their deadline
    std::vector<float> waits_ms;         // from arrival to the start on a slot of the
                                         // server, of attempts that got one
    std::vector<float> refused_after_ms; // from arrival to the refusal

    void add(const kind_metrics& other);
    double within_deadline_share() const;
};

struct queue_metrics
{
    kind_metrics short_requests;
    kind_metrics long_requests;
    kind_metrics other_callers; // of all but the first caller, without
                                // waits_ms and refused_after_ms
    std::size_t refused_for_deadline = 0;
    std::size_t refused_queue_full = 0;
    std::size_t refused_long = 0;           // long requests, by either reason
    std::size_t shed = 0;                   // attempts that the server shed, at any time
    duration useful_slot_time{};            // of answers within their deadline
    duration total_slot_time{};             // of all slots, in the measured windows
    std::vector<double> goodput_per_second; // answers within their deadline, by
                                            // second of the whole script

    void add(const queue_metrics& other);
    double useful_slot_time_share() const;
    double within_deadline_share() const;
};

// Returns the quantile `q`, in [0, 1], of the values; 0 if there are none. Reorders
// `values`.
double quantile(std::vector<float>& values, double q);

// Returns the time in seconds from `storm_end` until the mean goodput of two successive
// seconds is back at 95% of the mean of the seconds [from, to); -1 if it is not back by
// the end. All parameters are seconds from the start of the script.
double recovery_seconds(const std::vector<double>& goodput_per_second,
                        std::size_t from,
                        std::size_t to,
                        std::size_t storm_end);

} // namespace camphorrock
