#include "core/admission/service_time_table.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace camphorrock
{
namespace
{

// Samples between two looks at the shortest routes, once there are that many.
constexpr std::size_t look_period = 64;

// What an old request still counts after one such period.
constexpr double look_decay = 0.9;

// The share of the requests that the shortest routes must have to be the measure of
// others.
constexpr double short_share = 0.1;

// Samples after which a row is believed alone.
constexpr std::size_t trusted_samples = 3;

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
    const auto of_route = routes_.find(route);
    if (of_route == routes_.end())
    {
        return {options_.unknown, options_.unknown, true};
    }
    const auto& callers = of_route->second.callers;
    const auto of_caller = callers.find(caller);
    const bool is_trusted =
        of_caller != callers.end() && of_caller->second.samples >= trusted_samples;
    const row& known = is_trusted ? of_caller->second : of_route->second.times;
    const double bound_us = known.mean_us + options_.deviations * known.deviation_us;
    const bool is_hinted_long = is_declared_long && !is_known(of_route->second);
    return {to_duration(known.mean_us),
            to_duration(bound_us),
            is_hinted_long || is_long(known)};
}

void service_time_table::observe(const caller_name& caller,
                                 const route_class& route,
                                 duration service_time)
{
    const double us = std::max<double>(1, static_cast<double>(service_time.count()));
    if (route_row* of_route = find_or_add(route))
    {
        update(of_route->times, us);
        of_route->recent += 1;
        if (row* of_caller = find_or_add(*of_route, caller))
        {
            update(*of_caller, us);
        }
    }
    ++samples_;
    if (samples_ < look_period || samples_ % look_period == 0)
    {
        update_short_mean();
    }
}

// The mean of the route at which the shorter ones together have their share of requests.
void service_time_table::update_short_mean()
{
    std::vector<const route_row*> by_mean;
    double all = 0;
    for (auto& [name, it] : routes_)
    {
        it.recent *= samples_ < look_period ? 1 : look_decay;
        all += it.recent;
        by_mean.push_back(&it);
    }
    std::sort(by_mean.begin(),
              by_mean.end(),
              [](const route_row* a, const route_row* b)
              { return a->times.mean_us < b->times.mean_us; });
    double counted = 0;
    for (const route_row* it : by_mean)
    {
        counted += it->recent;
        if (counted >= short_share * all)
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

void service_time_table::update(row& target, double sample_us) const
{
    if (target.samples++ == 0)
    {
        target.mean_us = sample_us;
        target.deviation_us = sample_us / 2;
        return;
    }
    // The first samples weigh more, so that the first one is soon forgotten.
    const double first = 1.0 / static_cast<double>(target.samples);
    const double weight = std::max(options_.weight, first);
    const double off = std::abs(sample_us - target.mean_us);
    target.mean_us += weight * (sample_us - target.mean_us);
    target.deviation_us += weight * (off - target.deviation_us);
}

// Alone, a route is its own measure and never long.
bool service_time_table::is_known(const route_row& route) const
{
    return route.times.samples >= trusted_samples && routes_.size() > 1;
}

bool service_time_table::is_full() const
{
    return size() >= options_.max_classes;
}

service_time_table::route_row* service_time_table::find_or_add(const route_class& route)
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

service_time_table::row* service_time_table::find_or_add(route_row& route,
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

bool service_time_table::is_long(const row& from) const
{
    return from.mean_us > short_mean_us_ * options_.long_factor;
}

} // namespace camphorrock
