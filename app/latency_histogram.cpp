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

auto make_counts(const latency_buckets& buckets)
{
    axis_type axis(buckets.count,
                   static_cast<double>(buckets.first.count()),
                   static_cast<double>(buckets.last.count()));
    return boost::histogram::make_histogram_with(std::vector<std::uint64_t>(), axis);
}

} // namespace

struct latency_histogram::impl
{
    explicit impl(const latency_buckets& buckets) : counts(make_counts(buckets)) {}

    decltype(make_counts({})) counts;
    std::uint64_t count = 0;
    duration sum{};
    duration max{};
};

latency_histogram::latency_histogram(latency_buckets buckets)
    : parts_(std::make_unique<impl>(buckets))
{
}

latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept = default;
latency_histogram::~latency_histogram() = default;

void latency_histogram::record(duration value)
{
    // The logarithm needs a positive number; anything below 1 us falls below the buckets.
    value = std::max(value, duration(0));
    parts_->counts(std::max<double>(value.count(), 0.5));
    ++parts_->count;
    parts_->sum += value;
    parts_->max = std::max(parts_->max, value);
}

std::uint64_t latency_histogram::count() const
{
    return parts_->count;
}

duration latency_histogram::sum() const
{
    return parts_->sum;
}

duration latency_histogram::max() const
{
    return parts_->max;
}

duration latency_histogram::quantile(double share) const
{
    auto wanted = static_cast<std::uint64_t>(std::ceil(share * parts_->count));
    for (const cumulative_count& it : cumulative())
    {
        if (it.count >= wanted)
        {
            return std::min(it.upper, parts_->max);
        }
    }
    return parts_->max;
}

std::vector<cumulative_count> latency_histogram::cumulative() const
{
    const auto& axis = parts_->counts.axis();
    std::vector<cumulative_count> rows;
    std::uint64_t total = 0;
    for (int n = -1; n < axis.size(); ++n)
    {
        total += parts_->counts.at(n);
        auto upper = static_cast<duration::rep>(std::llround(axis.value(n + 1)));
        rows.push_back({duration(upper), total});
    }
    return rows;
}

} // namespace camphorrock
