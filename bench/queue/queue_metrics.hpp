#pragma once

// What a trial measured. Metrics of several servers add up.

#include "core/base/time.hpp"

#include <cstddef>
#include <vector>

namespace camphorrock
{

// Requests of one kind that arrived in the measured windows.
struct kind_metrics
{
    std::size_t offered = 0;
    std::size_t within_deadline = 0;
    std::vector<float> waits_ms; // from arrival to the slot, of attempts that got one
    std::vector<float> refused_after_ms; // from arrival to the refusal

    void add(const kind_metrics& other);
    double share() const;
};

struct queue_metrics
{
    kind_metrics short_work;
    kind_metrics long_work;
    kind_metrics other_callers; // all but the first caller; waits are not kept
    std::size_t refused_deadline = 0;
    std::size_t refused_full = 0;
    std::size_t refused_long = 0;        // of both
    std::size_t shed = 0;                // attempts that the server shed
    duration useful{};                   // slot time of answers within their deadline
    duration slot_time{};                // of all slots
    std::vector<double> good_per_second; // answers within their deadline, whole script

    void add(const queue_metrics& other);
    double useful_share() const;
    double within_deadline_share() const;
};

// The value below which the share `q` of the values lie; 0 for none. Reorders `values`.
double quantile(std::vector<float>& values, double q);

// The seconds after `storm_end` until the answers of two seconds together are back at 95%
// of the mean of the seconds [from, to); -1 where they are not by the end.
double recovery_seconds(const std::vector<double>& good_per_second,
                        std::size_t from,
                        std::size_t to,
                        std::size_t storm_end);

} // namespace camphorrock
