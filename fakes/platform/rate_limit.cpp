#include "fakes/platform/rate_limit.hpp"

#include <algorithm>

namespace camphorrock::fakes
{

bool rate_limit::admit(time_point now)
{
    if (rate_ <= 0)
    {
        return true;
    }
    const double elapsed_s = std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(rate_, tokens_ + elapsed_s * rate_);
    refilled_at_ = now;
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace camphorrock::fakes
