#include "bench/queue/queue_metrics.hpp"

#include <algorithm>
#include <numeric>

namespace camphorrock
{
namespace
{

constexpr double recovered_fraction = 0.95;

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

double mean_of(const std::vector<double>& values, std::size_t from, std::size_t to)
{
    const auto first = values.begin() + static_cast<std::ptrdiff_t>(from);
    const auto last = values.begin() + static_cast<std::ptrdiff_t>(to);
    return std::accumulate(first, last, 0.0) / static_cast<double>(to - from);
}

} // namespace

void kind_metrics::add(const kind_metrics& other)
{
    offered += other.offered;
    within_deadline += other.within_deadline;
    waits_ms.insert(waits_ms.end(), other.waits_ms.begin(), other.waits_ms.end());
    refused_after_ms.insert(refused_after_ms.end(),
                            other.refused_after_ms.begin(),
                            other.refused_after_ms.end());
}

double kind_metrics::within_deadline_share() const
{
    return ratio(static_cast<double>(within_deadline), static_cast<double>(offered));
}

void queue_metrics::add(const queue_metrics& other)
{
    short_requests.add(other.short_requests);
    long_requests.add(other.long_requests);
    other_callers.add(other.other_callers);
    refused_for_deadline += other.refused_for_deadline;
    refused_queue_full += other.refused_queue_full;
    refused_long += other.refused_long;
    shed += other.shed;
    useful_slot_time += other.useful_slot_time;
    total_slot_time += other.total_slot_time;
    const std::size_t n =
        std::max(goodput_per_second.size(), other.goodput_per_second.size());
    goodput_per_second.resize(n);
    for (std::size_t i = 0; i < other.goodput_per_second.size(); ++i)
    {
        goodput_per_second[i] += other.goodput_per_second[i];
    }
}

double queue_metrics::useful_slot_time_share() const
{
    return ratio(static_cast<double>(useful_slot_time.count()),
                 static_cast<double>(total_slot_time.count()));
}

double queue_metrics::within_deadline_share() const
{
    const std::size_t good =
        short_requests.within_deadline + long_requests.within_deadline;
    const std::size_t all = short_requests.offered + long_requests.offered;
    return ratio(static_cast<double>(good), static_cast<double>(all));
}

double quantile(std::vector<float>& values, double q)
{
    if (values.empty())
    {
        return 0;
    }
    const double at = q * static_cast<double>(values.size() - 1);
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>(at);
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
}

double recovery_seconds(const std::vector<double>& goodput_per_second,
                        std::size_t from,
                        std::size_t to,
                        std::size_t storm_end)
{
    const double before = mean_of(goodput_per_second, from, to);
    for (std::size_t at = storm_end; at + 2 <= goodput_per_second.size(); ++at)
    {
        if (mean_of(goodput_per_second, at, at + 2) >= recovered_fraction * before)
        {
            return static_cast<double>(at - storm_end);
        }
    }
    return -1;
}

} // namespace camphorrock
