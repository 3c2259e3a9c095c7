#include "core/admission/adaptive_limit.hpp"

#include <algorithm>

namespace camphorrock
{

adaptive_limit::adaptive_limit(adaptive_limit_options options)
    : options_(options), limit_(options.start)
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

void adaptive_limit::observe(answer_kind answer, std::size_t slots, time_point now)
{
    if (answer == answer_kind::good)
    {
        const double ceiling = std::max<double>(1, static_cast<double>(slots));
        limit_ = std::min(limit_ + options_.rise_per_answer, ceiling);
        return;
    }
    if (now < no_fall_before_)
    {
        return;
    }
    limit_ = std::max(1.0, limit_ * options_.fall_factor);
    no_fall_before_ = now + options_.cool_down;
}

} // namespace camphorrock
