#include "core/admission/service_time_table.hpp"

#include <algorithm>
#include <cmath>

namespace camphorrock
{
namespace
{

// The step of the median as a share of its value; small, so that it does not follow a
// burst of long requests.
constexpr double median_step = 0.01;

// Samples after which a row is believed alone.
constexpr std::size_t trusted_samples = 3;

std::string pair_key(const caller_name& caller, const route_class& route)
{
    std::string key;
    key.reserve(route.str().size() + 1 + caller.str().size());
    key.append(route.str()).push_back('\n');
    key.append(caller.str());
    return key;
}

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
                                                   const route_class& route) const
{
    auto it = rows_.find(pair_key(caller, route));
    if (it == rows_.end() || it->second.samples < trusted_samples)
    {
        it = rows_.find(route.str());
    }
    if (it == rows_.end())
    {
        return {options_.unknown, options_.unknown, true};
    }
    const row& known = it->second;
    const double bound_us = known.mean_us + options_.deviations * known.deviation_us;
    return {to_duration(known.mean_us), to_duration(bound_us), is_long(known)};
}

void service_time_table::observe(const caller_name& caller,
                                 const route_class& route,
                                 duration service_time)
{
    const double us = std::max<double>(1, static_cast<double>(service_time.count()));
    if (samples_++ == 0)
    {
        median_us_ = us;
    }
    // The first samples move it more, so that it does not depend on the very first.
    const double step = std::max(median_step, 1 / static_cast<double>(samples_ + 1));
    median_us_ *= us > median_us_ ? 1 + step : 1 - step;
    if (row* of_route = find_or_add(route.str()))
    {
        update(*of_route, us);
    }
    if (row* of_pair = find_or_add(pair_key(caller, route)))
    {
        update(*of_pair, us);
    }
}

duration service_time_table::long_threshold() const
{
    return to_duration(median_us_ * options_.long_factor);
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

service_time_table::row* service_time_table::find_or_add(const std::string& key)
{
    const auto it = rows_.find(key);
    if (it != rows_.end())
    {
        return &it->second;
    }
    if (rows_.size() >= options_.max_classes)
    {
        return nullptr;
    }
    return &rows_[key];
}

bool service_time_table::is_long(const row& from) const
{
    return from.mean_us > median_us_ * options_.long_factor;
}

} // namespace camphorrock
