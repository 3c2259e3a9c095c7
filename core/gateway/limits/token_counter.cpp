#include "core/gateway/limits/token_counter.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

duration interval_of(double rate)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / rate));
}

} // namespace

token_counter::row& token_counter::update_row(const server_id& server,
                                              double rate,
                                              bool is_preferred,
                                              time_point now)
{
    const auto [found, is_new] = rows_.try_emplace(server);
    row& it = found->second;
    it.last_asked_at = now;
    const bool has_settled = now - started_at_ >= options_.settling_time;
    const double share = is_preferred && has_settled ? 1 : options_.standby_share;
    const double new_rate = rate * share;
    if (is_new)
    {
        it.next_at = has_settled ? now : now + interval_of(new_rate);
    }
    else if (it.next_at > now && new_rate != it.rate)
    {
        // The tokens that are granted ahead of time stay; those after them come at the
        // new rate.
        const std::chrono::duration<double> ahead = it.next_at - now;
        it.next_at =
            now + std::chrono::duration_cast<duration>(ahead * (it.rate / new_rate));
    }
    it.rate = new_rate;
    return it;
}

token_decision token_counter::take(const server_id& server,
                                   double rate,
                                   duration max_wait,
                                   bool is_preferred,
                                   time_point now)
{
    row& it = update_row(server, rate, is_preferred, now);
    const duration interval = interval_of(it.rate);
    const auto saved_time = std::chrono::duration_cast<duration>(
        (options_.burst - 1) * std::chrono::duration<double>(interval));
    it.next_at = std::max(it.next_at, now - saved_time);
    const duration wait = std::max<duration>(it.next_at - now, duration::zero());
    if (wait <= max_wait)
    {
        it.next_at += interval;
        return {true, wait};
    }
    // Half an interval apart, since not all that are refused still want a token then.
    const time_point first_return = now + wait - max_wait;
    it.return_at = std::max(it.return_at, first_return) + interval / 2;
    it.return_at = std::min(it.return_at, now + options_.max_return_wait);
    return {false, it.return_at - now};
}

void token_counter::spend(const server_id& server,
                          double rate,
                          bool is_preferred,
                          time_point now)
{
    row& it = update_row(server, rate, is_preferred, now);
    it.next_at = std::max(it.next_at, now) + interval_of(it.rate);
}

void token_counter::give_back(const server_id& server, time_point now)
{
    const auto found = rows_.find(server);
    const bool is_ahead = found != rows_.end() && found->second.next_at > now;
    if (is_ahead)
    {
        found->second.next_at -= interval_of(found->second.rate);
    }
}

void token_counter::expire(time_point now)
{
    std::erase_if(rows_,
                  [&](const auto& it)
                  { return now - it.second.last_asked_at >= options_.idle_time; });
}

} // namespace camphorrock
