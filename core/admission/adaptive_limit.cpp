#include "core/admission/adaptive_limit.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace camphorrock
{

adaptive_limit::adaptive_limit(adaptive_limit_options options)
    : options_(options), limit_(options.start),
      carried_(std::numeric_limits<double>::infinity())
{
}

std::size_t adaptive_limit::allowed(std::size_t slots) const
{
    if (slots == 0)
    {
        return 0;
    }
    const auto whole = static_cast<std::size_t>(limit_);
    return std::clamp<std::size_t>(whole, 1, slots);
}

void adaptive_limit::observe(bool is_bad, std::size_t slots, time_point now)
{
    bad_share_ += options_.bad_weight * ((is_bad ? 1 : 0) - bad_share_);
    if (!is_bad)
    {
        rise(slots, now);
    }
    else if (bad_share_ > options_.max_bad_share)
    {
        fall(limit_ * options_.fall_factor, now);
    }
}

void adaptive_limit::observe_shed(std::size_t others, time_point now)
{
    carried_ = std::max<double>(1, static_cast<double>(others));
    fall(carried_, now);
}

void adaptive_limit::rise(std::size_t slots, time_point now)
{
    const std::chrono::duration<double> passed = now - std::exchange(last_good_, now);
    const double time_s = std::min(passed.count(), 1.0);
    const bool is_probe = limit_ >= carried_;
    limit_ += is_probe ? options_.probe_per_second * time_s
                       : options_.rise_per_answer + options_.rise_per_second * time_s;
    limit_ = std::min(limit_, std::max<double>(1, static_cast<double>(slots)));
    if (limit_ >= carried_ + 1)
    {
        carried_ += 1;
    }
}

void adaptive_limit::fall(double to, time_point now)
{
    if (now < no_fall_before_)
    {
        return;
    }
    limit_ = std::clamp(to, 1.0, limit_);
    no_fall_before_ = now + options_.cool_down;
}

} // namespace camphorrock
