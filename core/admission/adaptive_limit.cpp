#include "core/admission/adaptive_limit.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace camphorrock
{

adaptive_limit::adaptive_limit(adaptive_limit_options options)
    : options_(options), limit_(options.initial_limit),
      shed_threshold_(std::numeric_limits<double>::infinity())
{
}

std::size_t adaptive_limit::limit_for(std::size_t slots) const
{
    if (slots == 0)
    {
        return 0;
    }
    const auto whole = static_cast<std::size_t>(limit_);
    return std::clamp<std::size_t>(whole, 1, slots);
}

void adaptive_limit::observe(bool is_failure, std::size_t slots, time_point now)
{
    failure_fraction_ +=
        options_.failure_weight * ((is_failure ? 1 : 0) - failure_fraction_);
    if (!is_failure)
    {
        increase(slots, now);
    }
    else if (failure_fraction_ > options_.max_failure_fraction)
    {
        decrease(limit_ * options_.decrease_factor, now);
    }
}

void adaptive_limit::observe_shed(std::size_t other_in_flight, time_point now)
{
    shed_threshold_ = std::max<double>(1, static_cast<double>(other_in_flight));
    decrease(shed_threshold_, now);
}

void adaptive_limit::increase(std::size_t slots, time_point now)
{
    const std::chrono::duration<double> elapsed =
        now - std::exchange(last_success_at_, now);
    const double elapsed_s = std::min(elapsed.count(), 1.0);
    const bool is_probing = limit_ >= shed_threshold_;
    limit_ += is_probing ? options_.probe_increase_per_second * elapsed_s
                         : options_.increase_per_success +
                               options_.increase_per_second * elapsed_s;
    limit_ = std::min(limit_, std::max<double>(1, static_cast<double>(slots)));
    if (limit_ >= shed_threshold_ + 1)
    {
        shed_threshold_ += 1;
    }
}

void adaptive_limit::decrease(double target, time_point now)
{
    if (now < next_decrease_at_)
    {
        return;
    }
    limit_ = std::clamp(target, 1.0, limit_);
    next_decrease_at_ = now + options_.min_decrease_interval;
}

} // namespace camphorrock
