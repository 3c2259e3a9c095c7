#include "core/gateway/arrival_budget.hpp"

namespace camphorrock
{

arrival_budget::slice& arrival_budget::at(time_point now)
{
    const std::int64_t number =
        now.time_since_epoch() / (options_.window / static_cast<int>(slices));
    slice& it = rows_[static_cast<std::size_t>(number) % slices];
    if (it.number != number)
    {
        it = slice{number, 0, 0};
    }
    return it;
}

void arrival_budget::first_sent(time_point now)
{
    ++at(now).first;
}

bool arrival_budget::try_repeat(time_point now)
{
    slice& current = at(now);
    unsigned first = 0;
    unsigned repeats = 0;
    for (const slice& it : rows_)
    {
        const bool is_inside =
            it.number > current.number - static_cast<std::int64_t>(slices);
        first += is_inside ? it.first : 0;
        repeats += is_inside ? it.repeats : 0;
    }
    if (repeats + 1 > options_.share * first + options_.extra)
    {
        return false;
    }
    ++current.repeats;
    return true;
}

} // namespace camphorrock
