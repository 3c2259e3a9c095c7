#include "core/gateway/limits/warm_up_rate.hpp"

#include "core/base/enum_names.hpp"
#include "core/gateway/limits/token_counter.hpp"

#include <algorithm>
#include <cmath>

namespace camphorrock
{
namespace
{

constexpr enum_names<warm_up_source, warm_up_source_count> names{{{
    {warm_up_source::entry, "entry"},
    {warm_up_source::answer, "answer"},
    {warm_up_source::gateway, "gateway"},
    {warm_up_source::drain, "drain"},
}}};

// The fractions that the tokens use: of the requests in the long run, and of those in any
// second. While two gateways count for a server, the second hands out 0.4 of the rate.
constexpr double rate_fraction = 0.9;
constexpr double second_fraction = 0.9;
constexpr double min_cold_rate = 0.25; // tokens a second

bool is_in_range(duration left)
{
    return left >= duration::zero() && left <= max_warm_up;
}

} // namespace

std::string_view name_of(warm_up_source value)
{
    return names.name(value);
}

double cold_rate_of(const warm_up_policy& policy)
{
    const double steady = policy.per_second * policy.overage;
    const double with_burst =
        second_fraction * (steady + policy.slack) - token_counter_options().burst;
    return std::max(min_cold_rate, std::min(rate_fraction * steady, with_burst));
}

warm_up_rates::row* warm_up_rates::row_for(const server_id& server,
                                           const server_incarnation& incarnation)
{
    const auto found = rows_.find(server);
    if (found == rows_.end())
    {
        const bool has_room = rows_.size() < options_.max_servers;
        return has_room ? &rows_.emplace(server, row{incarnation, {}}).first->second
                        : nullptr;
    }
    row& it = found->second;
    if (incarnation < it.incarnation)
    {
        return nullptr;
    }
    if (it.incarnation < incarnation)
    {
        it.incarnation = incarnation;
        std::fill(std::begin(it.by_source), std::end(it.by_source), statement{});
    }
    return &it;
}

const warm_up_rates::row* warm_up_rates::find(const server_id& server,
                                              const server_incarnation& incarnation) const
{
    const auto found = rows_.find(server);
    const bool is_same = found != rows_.end() && found->second.incarnation == incarnation;
    return is_same ? &found->second : nullptr;
}

// A server that says it is warm again and again was cold until it first said so.
void warm_up_rates::set_left(statement& it, duration left, time_point now)
{
    it.made_at = now;
    if (left > duration::zero())
    {
        it.cold_until = now + left;
    }
    else if (it.cold_until)
    {
        it.cold_until = std::min(*it.cold_until, now);
    }
}

std::optional<warm_up_rates::cold_end> warm_up_rates::end_of(const row& it)
{
    std::optional<cold_end> latest;
    for (std::size_t n = 0; n < warm_up_source_count; ++n)
    {
        const std::optional<time_point>& until = it.by_source[n].cold_until;
        if (until && (!latest || *until > latest->at))
        {
            latest = cold_end{*until, static_cast<warm_up_source>(n)};
        }
    }
    return latest;
}

bool warm_up_rates::note_entry(const server_id& server,
                               const server_incarnation& incarnation,
                               duration left,
                               time_point received_at)
{
    row* it = is_in_range(left) ? row_for(server, incarnation) : nullptr;
    if (it == nullptr)
    {
        return false;
    }
    statement& entry = it->of(warm_up_source::entry);
    const bool is_news = !entry.made_at || received_at > *entry.made_at;
    if (!is_news)
    {
        return false;
    }
    const bool was_cold = is_cold(server, incarnation, received_at);
    set_left(entry, left, received_at);
    statement& drain = it->of(warm_up_source::drain);
    const bool ends_drain = left == duration::zero() && drain.made_at &&
                            received_at - *drain.made_at >= options_.max_entry_delay;
    if (ends_drain && drain.cold_until)
    {
        drain.cold_until = std::min(*drain.cold_until, received_at);
    }
    return is_cold(server, incarnation, received_at) != was_cold;
}

warm_up_change warm_up_rates::observe(const server_id& server,
                                      const server_incarnation& incarnation,
                                      const warm_up_statement& said,
                                      time_point now)
{
    if (!said.is_present)
    {
        return warm_up_change::none;
    }
    if (!said.left || !is_in_range(*said.left))
    {
        const bool has_room = unreadable_.size() < options_.max_servers;
        const auto found = unreadable_.find(server);
        const bool is_first =
            found == unreadable_.end() ? has_room : found->second != incarnation;
        if (is_first)
        {
            unreadable_[server] = incarnation;
        }
        return is_first ? warm_up_change::unreadable : warm_up_change::none;
    }
    row* it = row_for(server, incarnation);
    if (it == nullptr)
    {
        return warm_up_change::none;
    }
    const bool was_cold = is_cold(server, incarnation, now);
    set_left(it->of(warm_up_source::answer), *said.left, now);
    if (*said.left == duration::zero())
    {
        set_left(it->of(warm_up_source::drain), duration::zero(), now);
        it->of(warm_up_source::drain).made_at = now;
    }
    return is_cold(server, incarnation, now) == was_cold ? warm_up_change::none
                                                         : warm_up_change::changed;
}

bool warm_up_rates::adopt(const server_id& server,
                          const server_incarnation& incarnation,
                          duration left,
                          time_point now)
{
    const bool is_statement = left > duration::zero() && is_in_range(left);
    row* it = is_statement ? row_for(server, incarnation) : nullptr;
    if (it == nullptr)
    {
        return false;
    }
    const bool was_cold = is_cold(server, incarnation, now);
    statement& told = it->of(warm_up_source::gateway);
    told.made_at = now;
    told.cold_until = std::max(told.cold_until.value_or(now + left), now + left);
    return !was_cold;
}

void warm_up_rates::note_evacuation_end(const server_id& server,
                                        const server_incarnation& incarnation,
                                        duration span,
                                        time_point ended_at)
{
    row* it = is_in_range(span) ? row_for(server, incarnation) : nullptr;
    if (it == nullptr)
    {
        return;
    }
    statement& drain = it->of(warm_up_source::drain);
    const bool is_noted = drain.made_at && *drain.made_at >= ended_at;
    if (is_noted)
    {
        return;
    }
    const statement& entry = it->of(warm_up_source::entry);
    const bool is_warm_since = entry.made_at &&
                               *entry.made_at >= ended_at + options_.max_entry_delay &&
                               (!entry.cold_until || *entry.cold_until <= *entry.made_at);
    drain.made_at = ended_at;
    if (!is_warm_since)
    {
        drain.cold_until = ended_at + span;
    }
}

bool warm_up_rates::is_cold(const server_id& server,
                            const server_incarnation& incarnation,
                            time_point now) const
{
    const row* it = find(server, incarnation);
    const std::optional<cold_end> end = it != nullptr ? end_of(*it) : std::nullopt;
    return end && now < end->at;
}

std::optional<double> warm_up_rates::rate_of(const server_id& server,
                                             const server_incarnation& incarnation,
                                             const warm_up_policy& policy,
                                             time_point now) const
{
    const row* it = policy.has_limit() ? find(server, incarnation) : nullptr;
    const std::optional<cold_end> end = it != nullptr ? end_of(*it) : std::nullopt;
    if (!end)
    {
        return std::nullopt;
    }
    const double cold_rate = cold_rate_of(policy);
    if (now < end->at)
    {
        return cold_rate;
    }
    const duration since_end = now - end->at;
    if (since_end >= options_.recovery_time)
    {
        return std::nullopt;
    }
    const double doublings =
        std::chrono::duration<double>(since_end) / options_.recovery_doubling_time;
    return std::max(cold_rate, options_.min_recovery_rate) * std::exp2(doublings);
}

std::vector<warm_up_transition> warm_up_rates::take_transitions(time_point now)
{
    std::vector<warm_up_transition> made;
    for (auto& [server, it] : rows_)
    {
        const std::optional<cold_end> end = end_of(it);
        const bool is_cold_now = end && now < end->at;
        if (is_cold_now == it.is_told_cold)
        {
            continue;
        }
        it.is_told_cold = is_cold_now;
        it.told_source = is_cold_now ? end->source : it.told_source;
        made.push_back({server,
                        is_cold_now,
                        it.told_source,
                        is_cold_now ? end->at - now : duration::zero()});
    }
    return made;
}

std::vector<cold_server> warm_up_rates::cold_by_answers(std::size_t most,
                                                        time_point now) const
{
    std::vector<cold_server> made;
    for (const auto& [server, it] : rows_)
    {
        const auto& until =
            it.by_source[static_cast<std::size_t>(warm_up_source::answer)].cold_until;
        if (until && now < *until && made.size() < most)
        {
            made.push_back({server, it.incarnation, *until - now});
        }
    }
    return made;
}

std::vector<server_id> warm_up_rates::recovering(time_point now) const
{
    std::vector<server_id> made;
    const duration span = options_.recovery_time + 2 * options_.recovery_doubling_time;
    for (const auto& [server, it] : rows_)
    {
        const std::optional<cold_end> end = end_of(it);
        if (end && now >= end->at && now - end->at < span)
        {
            made.push_back(server);
        }
    }
    return made;
}

std::size_t warm_up_rates::cold_count(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(rows_.begin(),
                                                  rows_.end(),
                                                  [&](const auto& it)
                                                  {
                                                      const std::optional<cold_end> end =
                                                          end_of(it.second);
                                                      return end && now < end->at;
                                                  }));
}

void warm_up_rates::expire(
    const std::function<bool(const server_id&, const server_incarnation&)>& is_known)
{
    std::erase_if(rows_,
                  [&](const auto& it)
                  { return !is_known(it.first, it.second.incarnation); });
    std::erase_if(unreadable_,
                  [&](const auto& it) { return !is_known(it.first, it.second); });
}

} // namespace camphorrock
