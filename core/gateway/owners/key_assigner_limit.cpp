// The part of key_assigner for owners that name a rate limit: fewer orders, and fewer key
// ranges.

#include "core/gateway/owners/key_assigner.hpp"

#include <algorithm>

namespace camphorrock
{

std::optional<double> key_assigner::limit_of(const listed_server& server,
                                             const assigner_view& view)
{
    return view.limit ? view.limit(server) : std::nullopt;
}

// The number of ranges whose grants can be renewed as usual within the orders' fraction
// of the limit.
double key_assigner::affordable_ranges(double limit) const
{
    const std::chrono::duration<double> period = options_.grant_renew_period;
    return limit * options_.limited_order_fraction * period.count();
}

// Of a grant that is renewed after `period`; zero for one that is renewed as usual.
duration key_assigner::hold_time_for(duration period) const
{
    return period <= options_.grant_renew_period
               ? duration::zero()
               : std::min(period + options_.limited_hold_margin, options_.long_hold_time);
}

// A server that names a limit gets fewer orders, which leave room for requests.
duration key_assigner::renew_period(const keyed_service& row,
                                    const known_server& owner,
                                    const assigner_view& view) const
{
    const std::optional<double> limit = limit_of(owner.entry, view);
    if (!limit)
    {
        return options_.grant_renew_period;
    }
    const auto ranges =
        std::count_if(row.key_ranges.begin(),
                      row.key_ranges.end(),
                      [&](const range_state& it)
                      { return it.range.owner == owner.entry.id && !it.target; });
    const std::chrono::duration<double> wanted(
        static_cast<double>(ranges) / (*limit * options_.limited_order_fraction));
    const duration longest = options_.long_hold_time / 2;
    return wanted >= longest ? longest
                             : std::max(options_.grant_renew_period,
                                        std::chrono::duration_cast<duration>(wanted));
}

// Each range costs its owner renewals of its grant. A server with a limit keeps one, and
// the others move one after the other.
void key_assigner::relieve_limited(keyed_service& row,
                                   std::vector<server_load>& loads,
                                   time_point now)
{
    for (server_load& from : loads)
    {
        range_state* range =
            from.is_limited ? range_to_move_off(row, from, now) : nullptr;
        server_load* to = range != nullptr ? successor_of(*range, loads) : nullptr;
        if (to != nullptr && !to->is_limited)
        {
            move_between(row, *range, from, *to, now);
        }
    }
}

// The most loaded range of the server, unless it is its only one. Null while one of its
// ranges is on the move.
key_assigner::range_state* key_assigner::range_to_move_off(keyed_service& row,
                                                           const server_load& from,
                                                           time_point now)
{
    range_state* most = nullptr;
    unsigned ranges = 0;
    for (range_state& it : row.key_ranges)
    {
        if (it.range.owner != from.server->entry.id)
        {
            continue;
        }
        if (it.target)
        {
            return nullptr;
        }
        ++ranges;
        const bool is_more = is_movable(it, from.server->entry.id, now) &&
                             (most == nullptr || load_of(row, it) > load_of(row, *most));
        most = is_more ? &it : most;
    }
    return ranges > 1 ? most : nullptr;
}

// Owners whose grants are renewed slowly get a long one before the authority ends.
void key_assigner::hasten_slow_renewals(time_point now)
{
    for (keyed_service& row : services_)
    {
        for (range_state& it : row.key_ranges)
        {
            const bool is_slow = it.renewal_delay > duration::zero() && !it.target;
            it.next_order_at = is_slow ? now : it.next_order_at;
        }
    }
}

} // namespace camphorrock
