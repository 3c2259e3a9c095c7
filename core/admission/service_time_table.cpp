#include "core/admission/service_time_table.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace camphorrock
{
namespace
{

// Samples between two updates of the short mean. Before that many, each sample updates
// it.
constexpr std::size_t short_mean_update_period = 64;

// Factor by which each periodic update multiplies the request counts of the routes.
constexpr double recent_decay = 0.9;

// Fraction of the requests that the shortest routes must have together to set the short
// mean.
constexpr double short_request_fraction = 0.1;

// Samples from which a row's own statistics are used.
constexpr std::size_t min_samples = 3;

duration to_duration(double us)
{
    return duration(static_cast<duration::rep>(us));
}

} // namespace

service_time_table::service_time_table(service_time_table_options options)
    : options_(options)
{
}

service_time_estimate service_time_table::estimate(const caller_name& caller,
                                                   const route_class& route,
                                                   bool is_declared_long) const
{
    const auto route_entry = routes_.find(route);
    if (route_entry == routes_.end())
    {
        return {options_.initial_estimate, options_.initial_estimate, true};
    }
    const auto& callers = route_entry->second.callers;
    const auto caller_entry = callers.find(caller);
    const bool is_trusted =
        caller_entry != callers.end() && caller_entry->second.samples >= min_samples;
    const time_stats& stats =
        is_trusted ? caller_entry->second : route_entry->second.times;
    const double bound_us =
        stats.mean_us + options_.bound_deviations * stats.deviation_us;
    const bool is_presumed_long = is_declared_long && !is_classified(route_entry->second);
    return {to_duration(stats.mean_us),
            to_duration(bound_us),
            is_presumed_long || is_long(stats)};
}

void service_time_table::observe(const caller_name& caller,
                                 const route_class& route,
                                 duration service_time)
{
    const double us = std::max<double>(1, static_cast<double>(service_time.count()));
    if (route_stats* route_entry = find_or_add(route))
    {
        update(route_entry->times, us);
        route_entry->recent_requests += 1;
        if (time_stats* caller_entry = find_or_add(*route_entry, caller))
        {
            update(*caller_entry, us);
        }
    }
    ++total_samples_;
    if (total_samples_ < short_mean_update_period ||
        total_samples_ % short_mean_update_period == 0)
    {
        update_short_mean();
    }
}

// Sets the short mean to the mean of the route at which the routes in order of their
// means reach short_request_fraction of the requests.
void service_time_table::update_short_mean()
{
    std::vector<const route_stats*> by_mean;
    double all = 0;
    for (auto& [name, it] : routes_)
    {
        it.recent_requests *=
            total_samples_ < short_mean_update_period ? 1 : recent_decay;
        all += it.recent_requests;
        by_mean.push_back(&it);
    }
    std::sort(by_mean.begin(),
              by_mean.end(),
              [](const route_stats* a, const route_stats* b)
              { return a->times.mean_us < b->times.mean_us; });
    double counted = 0;
    for (const route_stats* it : by_mean)
    {
        counted += it->recent_requests;
        if (counted >= short_request_fraction * all)
        {
            short_mean_us_ = it->times.mean_us;
            return;
        }
    }
}

duration service_time_table::long_threshold() const
{
    return to_duration(short_mean_us_ * options_.long_factor);
}

void service_time_table::update(time_stats& target, double sample_us) const
{
    if (target.samples++ == 0)
    {
        target.mean_us = sample_us;
        target.deviation_us = sample_us / 2;
        return;
    }
    // The first samples weigh more, so that the influence of the very first one fades
    // soon.
    const double min_weight = 1.0 / static_cast<double>(target.samples);
    const double weight = std::max(options_.sample_weight, min_weight);
    const double deviation_us = std::abs(sample_us - target.mean_us);
    target.mean_us += weight * (sample_us - target.mean_us);
    target.deviation_us += weight * (deviation_us - target.deviation_us);
}

// Whether a route can be classified by its mean. A single route sets the short mean
// itself, and so is never long.
bool service_time_table::is_classified(const route_stats& route) const
{
    return route.times.samples >= min_samples && routes_.size() > 1;
}

bool service_time_table::is_full() const
{
    return size() >= options_.max_rows;
}

service_time_table::route_stats* service_time_table::find_or_add(const route_class& route)
{
    const auto it = routes_.find(route);
    if (it != routes_.end())
    {
        return &it->second;
    }
    if (is_full())
    {
        return nullptr;
    }
    ++size_;
    return &routes_[route];
}

service_time_table::time_stats* service_time_table::find_or_add(route_stats& route,
                                                                const caller_name& caller)
{
    const auto it = route.callers.find(caller);
    if (it != route.callers.end())
    {
        return &it->second;
    }
    if (is_full())
    {
        return nullptr;
    }
    ++size_;
    return &route.callers[caller];
}

bool service_time_table::is_long(const time_stats& stats) const
{
    return stats.mean_us > short_mean_us_ * options_.long_factor;
}

} // namespace camphorrock
