#include "core/gateway/servers/borne_load.hpp"

#include <algorithm>
#include <cmath>

namespace camphorrock
{

std::int64_t borne_load::period_of(time_point at)
{
    return at.time_since_epoch() / period_length;
}

void borne_load::note_answer(const held_load& sent_with, time_point now)
{
    const std::int64_t index = period_of(now);
    borne_period& it = periods_[static_cast<std::size_t>(index) % period_count];
    if (it.index != index)
    {
        it = {index, {}};
    }
    it.largest.requests = std::max(it.largest.requests, sent_with.requests);
    it.largest.bytes = std::max(it.largest.bytes, sent_with.bytes);
}

held_load borne_load::borne(time_point now) const
{
    const std::int64_t first = period_of(now) - std::int64_t{period_count} + 1;
    held_load made;
    for (const borne_period& it : periods_)
    {
        if (it.index >= first)
        {
            made.requests = std::max(made.requests, it.largest.requests);
            made.bytes = std::max(made.bytes, it.largest.bytes);
        }
    }
    return made;
}

bool borne_load::note_crash(const held_load& held, unsigned slots, time_point now)
{
    const bool has_many = held.requests > slots;
    const bool has_large = held.bytes > std::max(borne(now).bytes, options_.small_bytes);
    if (has_many || has_large)
    {
        bounded_since_ = now;
    }
    return has_many || has_large;
}

bool borne_load::allows(const held_load& with_request,
                        unsigned slots,
                        time_point now) const
{
    if (!bounded_since_ || now - *bounded_since_ >= options_.in_force)
    {
        return true;
    }
    const std::chrono::duration<double> bounded_for = now - *bounded_since_;
    const std::chrono::duration<double> growth_time = options_.growth_time;
    const double factor = std::pow(options_.growth, 1 + bounded_for / growth_time);
    const held_load largest = borne(now);
    const bool has_few =
        with_request.requests <= std::max<double>(slots, factor * largest.requests);
    const double max_bytes =
        std::max<double>(static_cast<double>(options_.small_bytes),
                         factor * static_cast<double>(largest.bytes));
    return has_few && static_cast<double>(with_request.bytes) <= max_bytes;
}

} // namespace camphorrock
