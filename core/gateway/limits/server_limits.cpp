#include "core/gateway/limits/server_limits.hpp"

#include <algorithm>
#include <cmath>

namespace camphorrock
{

limit_change server_limits::observe(const server_id& server,
                                    const server_incarnation& incarnation,
                                    const limit_statement& said,
                                    time_point now)
{
    if (said.is_present && !said.rate)
    {
        const auto [it, is_new] = unreadable_.try_emplace(server, incarnation);
        const bool is_first = is_new || it->second != incarnation;
        it->second = incarnation;
        return is_first ? limit_change::unreadable : limit_change::none;
    }
    const auto found = rows_.find(server);
    const bool is_limited = found != rows_.end() && !found->second.has_ended &&
                            found->second.incarnation == incarnation;
    if (!said.is_present)
    {
        if (!is_limited)
        {
            return limit_change::none;
        }
        found->second.has_ended = true;
        found->second.observed_at = now;
        return limit_change::ended;
    }
    const bool has_room = found != rows_.end() || rows_.size() < options_.max_servers;
    if (!has_room)
    {
        return limit_change::none;
    }
    server_limit& limit = rows_[server];
    const bool is_same = is_limited && limit.rate == *said.rate;
    limit = {server, incarnation, *said.rate, false, now};
    if (!is_limited)
    {
        return limit_change::named;
    }
    return is_same ? limit_change::none : limit_change::changed;
}

bool server_limits::adopt(const server_limit& seen)
{
    const auto found = rows_.find(seen.server);
    const bool is_known = found != rows_.end();
    if (is_known && seen.observed_at <= found->second.observed_at)
    {
        return false;
    }
    const bool has_room = is_known || rows_.size() < options_.max_servers;
    if (!has_room)
    {
        return false;
    }
    rows_[seen.server] = seen;
    return true;
}

std::optional<double> server_limits::rate_of(const server_id& server,
                                             const server_incarnation& incarnation,
                                             time_point now) const
{
    const auto found = rows_.find(server);
    if (found == rows_.end() || found->second.incarnation != incarnation)
    {
        return std::nullopt;
    }
    const server_limit& limit = found->second;
    if (!limit.has_ended)
    {
        return std::max(limit.rate, options_.min_rate);
    }
    const duration since_end = now - limit.observed_at;
    if (since_end >= options_.recovery_time)
    {
        return std::nullopt;
    }
    const double doublings =
        std::chrono::duration<double>(since_end) / options_.recovery_doubling_time;
    return std::max(limit.rate, options_.min_recovery_rate) * std::exp2(doublings);
}

void server_limits::expire(const std::function<bool(const server_limit&)>& is_known,
                           time_point now)
{
    std::erase_if(rows_,
                  [&](const auto& it)
                  {
                      const server_limit& limit = it.second;
                      const bool is_recovered =
                          limit.has_ended &&
                          now - limit.observed_at >= options_.recovery_time;
                      return is_recovered || !is_known(limit);
                  });
    std::erase_if(unreadable_,
                  [&](const auto& it) {
                      return !is_known({it.first, it.second, 0, false, now});
                  });
}

std::vector<server_limit> server_limits::all() const
{
    std::vector<server_limit> made;
    made.reserve(rows_.size());
    for (const auto& [server, limit] : rows_)
    {
        made.push_back(limit);
    }
    return made;
}

} // namespace camphorrock
