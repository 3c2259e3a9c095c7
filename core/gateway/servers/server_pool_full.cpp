// The part of server_pool for servers that hold as many requests as they can.

#include "core/gateway/servers/server_pool.hpp"

#include <algorithm>

namespace camphorrock
{

unsigned server_pool::counted_at(const row& it, const server_criteria& criteria)
{
    return criteria.owner_load.value_or(own_counted(it) + it.reported_requests);
}

unsigned server_pool::own_counted(const row& it)
{
    return it.own_requests - std::min(it.own_requests, it.passed_over);
}

unsigned server_pool::excess_at(const row& it,
                                const server_criteria& criteria,
                                time_point now) const
{
    if (!borne_.allows(held_with(it, criteria), it.entry.slots, now))
    {
        return 1;
    }
    const bool is_told = shed_at_ && now - *shed_at_ < options_.full_behaviour_lifetime &&
                         !is_without_answer_when_full(now);
    if (is_told)
    {
        return 0;
    }
    const unsigned held = counted_at(it, criteria) + it.fullness.given_up(now);
    const unsigned bound = it.fullness.bound(it.entry.slots, now);
    return held >= bound ? held - bound + 1 : 0;
}

held_load server_pool::held_with(const row& it, const server_criteria& criteria)
{
    return {counted_at(it, criteria) + 1, it.own_bytes + criteria.bytes};
}

void server_pool::note_loss(row& it, const held_load& held, time_point now)
{
    const bool is_first = !it.lost_at || now - *it.lost_at > options_.death_notice_time;
    if (is_first)
    {
        it.lost_at = now;
        it.held_at_loss = held;
    }
}

void server_pool::note_possible_death(row& it, time_point now)
{
    const bool has_died = it.lost_at && now - *it.lost_at <= options_.death_notice_time;
    if (has_died)
    {
        borne_.note_crash(it.held_at_loss, it.entry.slots, now);
        it.lost_at.reset();
    }
}

bool server_pool::is_without_answer_when_full(time_point now) const
{
    return full_silence_at_ && now - *full_silence_at_ < options_.full_behaviour_lifetime;
}

duration
server_pool::room_in(const row& it, const server_criteria& criteria, time_point now) const
{
    const unsigned excess = excess_at(it, criteria, now);
    const double per_answer_us =
        expected_service_us(it, basis_of(it), now) / std::max(1U, it.entry.slots);
    return excess == 0 ? duration::zero()
                       : duration(1 + static_cast<duration::rep>(excess * per_answer_us));
}

bool server_pool::is_probably_lost(const server_choice& to,
                                   duration elapsed,
                                   time_point now) const
{
    auto it = rows_.find(to.server);
    return it != rows_.end() && it->second.entry.incarnation == to.incarnation &&
           it->second.fullness.is_probably_lost(
               {now - elapsed, to.counted, to.expected_latency},
               it->second.entry.slots,
               now);
}

std::optional<silence_class>
server_pool::pass_over(const server_choice& to, duration elapsed, time_point now)
{
    if (!is_probably_lost(to, elapsed, now))
    {
        return std::nullopt;
    }
    const silence_class made = note_silence(to, elapsed, now);
    const bool is_passed_over =
        made == silence_class::full ||
        (made == silence_class::lost && is_without_answer_when_full(now));
    if (!is_passed_over)
    {
        return std::nullopt;
    }
    ++rows_.at(to.server).passed_over;
    return made;
}

void server_pool::end_passed_over(const server_choice& to)
{
    auto it = rows_.find(to.server);
    const bool is_counted = it != rows_.end() &&
                            it->second.entry.incarnation == to.incarnation &&
                            it->second.passed_over > 0;
    if (is_counted)
    {
        --it->second.passed_over;
    }
}

duration server_pool::overdue_after(const server_choice& to) const
{
    auto it = rows_.find(to.server);
    return it != rows_.end() ? it->second.fullness.overdue_after(to.expected_latency)
                             : to.expected_latency;
}

std::optional<time_point>
server_pool::note_given_up(const server_choice& to, duration elapsed, time_point now)
{
    auto found = rows_.find(to.server);
    const bool is_known =
        found != rows_.end() && found->second.entry.incarnation == to.incarnation;
    if (!is_known)
    {
        return std::nullopt;
    }
    const time_point held_until =
        now + std::max<duration>(to.expected_service, to.expected_latency - elapsed);
    found->second.fullness.note_given_up(held_until, now);
    return is_without_answer_when_full(now) ? std::optional(held_until) : std::nullopt;
}

silence_class
server_pool::note_silence(const server_choice& to, duration elapsed, time_point now)
{
    auto found = rows_.find(to.server);
    const bool is_known =
        found != rows_.end() && found->second.entry.incarnation == to.incarnation;
    if (!is_known)
    {
        return silence_class::gone;
    }
    row& it = found->second;
    const silence_class made = it.fullness.note_silence(
        {now - elapsed, to.counted, to.expected_latency}, it.entry.slots, now);
    if (made == silence_class::full)
    {
        full_silence_at_ = now;
    }
    return made;
}

unsigned server_pool::bound(const server_id& server, time_point now) const
{
    auto it = rows_.find(server);
    return it == rows_.end() ? 0 : it->second.fullness.bound(it->second.entry.slots, now);
}

} // namespace camphorrock
