#include "core/config/recent_maximum.hpp"

#include <algorithm>

namespace camphorrock
{

void recent_maximum::set(duration value, time_point now)
{
    std::erase_if(replaced_,
                  [&](const replaced_value& it) { return it.counts_until <= now; });
    if (value < value_)
    {
        time_point until = now + with_drift(options_.propagation_time + value_);
        if (replaced_.size() < options_.max_replaced)
        {
            replaced_.push_back({value_, until});
        }
        else
        {
            replaced_value& last = replaced_.back();
            last.value = std::max(last.value, value_);
            last.counts_until = std::max(last.counts_until, until);
        }
    }
    value_ = value;
}

duration recent_maximum::at(time_point now) const
{
    duration longest = value_;
    for (const replaced_value& it : replaced_)
    {
        if (now < it.counts_until)
        {
            longest = std::max(longest, it.value);
        }
    }
    return longest;
}

duration recent_maximum::with_drift(duration span) const
{
    constexpr std::int64_t million = 1000000;
    return span + span * options_.clock_drift_ppm / million;
}

} // namespace camphorrock
