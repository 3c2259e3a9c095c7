#include "core/gateway/retry/sliding_retry_budget.hpp"

namespace camphorrock
{

sliding_retry_budget::slice& sliding_retry_budget::slice_at(time_point now)
{
    const std::int64_t index =
        now.time_since_epoch() / (options_.window / static_cast<int>(slice_count));
    slice& it = slices_[static_cast<std::size_t>(index) % slice_count];
    if (it.index != index)
    {
        it = slice{index, 0, 0};
    }
    return it;
}

void sliding_retry_budget::record_first_attempt(time_point now)
{
    ++slice_at(now).first_attempts;
}

bool sliding_retry_budget::allows_retry(time_point now)
{
    const slice& current = slice_at(now);
    unsigned first_attempts = 0;
    unsigned retries = 0;
    for (const slice& it : slices_)
    {
        const bool is_inside =
            it.index > current.index - static_cast<std::int64_t>(slice_count);
        first_attempts += is_inside ? it.first_attempts : 0;
        retries += is_inside ? it.retries : 0;
    }
    return retries + 1 <= options_.ratio * first_attempts + options_.slack;
}

bool sliding_retry_budget::try_spend_retry(time_point now)
{
    if (!allows_retry(now))
    {
        return false;
    }
    ++slice_at(now).retries;
    return true;
}

} // namespace camphorrock
