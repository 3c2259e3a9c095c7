#include "app/latency_histogram.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <algorithm>
#include <cmath>

namespace camphorrock
{
namespace
{

using axis_type =
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

auto make_histogram(const latency_buckets& buckets)
{
    axis_type axis(buckets.count,
                   static_cast<double>(buckets.first.count()),
                   static_cast<double>(buckets.last.count()));
    return boost::histogram::make_histogram_with(std::vector<std::uint64_t>(), axis);
}

} // namespace

struct latency_histogram::impl
{
    explicit impl(const latency_buckets& buckets) : histogram(make_histogram(buckets)) {}

    decltype(make_histogram({})) histogram;
    std::uint64_t count = 0;
    duration sum{};
    duration max{};
};

latency_histogram::latency_histogram(latency_buckets buckets)
    : impl_(std::make_unique<impl>(buckets))
{
}

latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept = default;
latency_histogram::~latency_histogram() = default;

void latency_histogram::record(duration value)
{
    // The logarithm needs a positive number: durations below 1 us count as 0.5 us, which
    // is below the first bucket.
    value = std::max(value, duration(0));
    impl_->histogram(std::max<double>(value.count(), 0.5));
    ++impl_->count;
    impl_->sum += value;
    impl_->max = std::max(impl_->max, value);
}

std::uint64_t latency_histogram::count() const
{
    return impl_->count;
}

duration latency_histogram::sum() const
{
    return impl_->sum;
}

duration latency_histogram::max() const
{
    return impl_->max;
}

duration latency_histogram::quantile(double fraction) const
{
    auto rank = static_cast<std::uint64_t>(std::ceil(fraction * impl_->count));
    for (const cumulative_count& it : cumulative_counts())
    {
        if (it.count >= rank)
        {
            return std::min(it.upper, impl_->max);
        }
    }
    return impl_->max;
}

std::vector<cumulative_count> latency_histogram::cumulative_counts() const
{
    const auto& axis = impl_->histogram.axis();
    std::vector<cumulative_count> rows;
    std::uint64_t total = 0;
    for (int n = -1; n < axis.size(); ++n)
    {
        total += impl_->histogram.at(n);
        auto upper = static_cast<duration::rep>(std::llround(axis.value(n + 1)));
        rows.push_back({duration(upper), total});
    }
    return rows;
}

} // namespace camphorrock
