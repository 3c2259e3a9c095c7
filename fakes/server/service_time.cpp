#include "fakes/server/service_time.hpp"

namespace camphorrock
{
namespace
{

duration to_duration(double microsecond_count)
{
    return duration(static_cast<duration::rep>(microsecond_count));
}

} // namespace

service_time::service_time(work_time_options options,
                           std::uint64_t seed,
                           time_point started_at)
    : options_(options), random_(seed), started_at_(started_at)
{
}

duration service_time::draw(work_class work, time_point now)
{
    double mean = static_cast<double>(options_.short_mean.count());
    double min = static_cast<double>(options_.long_min.count());
    double max = static_cast<double>(options_.long_max.count());
    double taken = work == work_class::short_work
                       ? std::exponential_distribution<>(1 / mean)(random_)
                       : std::uniform_real_distribution<>(min, max)(random_);
    if (draw_with_probability(options_.straggler_share))
    {
        taken *= options_.straggler_factor;
    }
    if (now - started_at_ < options_.cold_time)
    {
        taken *= options_.cold_factor;
    }
    return to_duration(taken);
}

bool service_time::draw_with_probability(double share)
{
    return share > 0 && std::bernoulli_distribution(share)(random_);
}

} // namespace camphorrock
