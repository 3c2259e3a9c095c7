#include "core/gateway/servers/full_server.hpp"

#include "core/base/enum_names.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr enum_names<silence_class, 5> names{{{
    {silence_class::full, "full"},
    {silence_class::slow, "slow"},
    {silence_class::gone, "gone"},
    {silence_class::lost, "lost"},
    {silence_class::unknown, "unknown"},
}}};

} // namespace

std::string_view name_of(silence_class value)
{
    return names.name(value);
}

std::int64_t full_server::period_of(time_point at)
{
    return at.time_since_epoch() / period_length;
}

unsigned full_server::largest_answered(time_point now) const
{
    const std::int64_t first = period_of(now) - std::int64_t{period_count} + 1;
    unsigned largest = 0;
    for (const answer_period& it : periods_)
    {
        largest = std::max(largest, it.index >= first ? it.largest_held : 0);
    }
    return largest;
}

unsigned full_server::largest_answered_before(time_point sent_at) const
{
    const std::int64_t end = period_of(sent_at);
    const std::int64_t first = end - std::int64_t{period_count} + 1;
    unsigned largest = 0;
    for (const answer_period& it : periods_)
    {
        const bool counts = it.index >= first && it.index < end;
        largest = std::max(largest, counts ? it.largest_held : 0);
    }
    for (const answered_request& it : answers_)
    {
        largest =
            std::max(largest, it.sent_at + options_.reordering < sent_at ? it.held : 0);
    }
    return largest;
}

unsigned full_server::unlowered_bound(unsigned slots, time_point now) const
{
    return std::max(std::max(1U, slots) + options_.queue_length, largest_answered(now));
}

unsigned full_server::bound(unsigned slots, time_point now) const
{
    const unsigned highest = unlowered_bound(slots, now);
    if (!full_at_)
    {
        return highest;
    }
    const unsigned lowered = std::min(highest, std::max({1U, slots, lowered_to_}));
    const duration rising = now - *full_at_ - options_.lowered_for;
    if (rising >= options_.recovery)
    {
        return highest;
    }
    const duration::rep risen = std::max<duration::rep>(0, rising.count()) *
                                (highest - lowered) / options_.recovery.count();
    return lowered + static_cast<unsigned>(risen);
}

unsigned full_server::given_up(time_point now) const
{
    return static_cast<unsigned>(std::count_if(
        held_until_.begin(), held_until_.end(), [&](time_point it) { return it > now; }));
}

void full_server::note_given_up(time_point held_until, time_point now)
{
    std::erase_if(held_until_, [&](time_point it) { return it <= now; });
    if (held_until_.size() >= options_.max_given_up)
    {
        held_until_.erase(std::min_element(held_until_.begin(), held_until_.end()));
    }
    held_until_.push_back(held_until);
}

void full_server::note_answer(const sent_request& it, time_point now)
{
    const bool is_late = now - it.sent_at > options_.late_factor * it.expected;
    const unsigned held = it.load + 1;
    answers_[answers_seen_++ % answer_count] = {it.sent_at, now, held, is_late};
    answer_period& period =
        periods_[static_cast<std::size_t>(period_of(now)) % period_count];
    if (period.index != period_of(now))
    {
        period = {period_of(now), 0};
    }
    period.largest_held = std::max(period.largest_held, held);
    // The server took a request behind as many others since it was said to be full.
    if (full_at_ && it.sent_at >= *full_at_)
    {
        lowered_to_ = std::max(lowered_to_, held);
    }
}

unsigned full_server::answers_to_later(time_point sent_at) const
{
    const std::size_t known = std::min(answers_seen_, answer_count);
    const auto end = answers_.begin() + static_cast<std::ptrdiff_t>(known);
    return static_cast<unsigned>(
        std::count_if(answers_.begin(),
                      end,
                      [&](const answered_request& it)
                      { return it.sent_at > sent_at + options_.reordering; }));
}

// A server that has answered behind more requests was not full, unless it held more than
// it is taken to queue: the numbers of other gateways' requests come late.
bool full_server::is_near_bound(const sent_request& it, unsigned slots) const
{
    const unsigned surely_held = std::min(std::max(1U, slots) + options_.queue_length,
                                          largest_answered_before(it.sent_at));
    return it.load >= std::max({1U, slots, surely_held});
}

silence_class full_server::classify(const sent_request& it, unsigned slots) const
{
    if (answers_to_later(it.sent_at) > 0)
    {
        return is_near_bound(it, slots) ? silence_class::full : silence_class::lost;
    }
    const std::size_t known = std::min(answers_seen_, answer_count);
    time_point last_answer{};
    bool has_late_answer = false;
    for (std::size_t n = 0; n < known; ++n)
    {
        last_answer = std::max(last_answer, answers_[n].answered_at);
        const bool is_since = answers_[n].answered_at > it.sent_at;
        has_late_answer = has_late_answer || (is_since && answers_[n].is_late);
    }
    const bool is_unreachable = unreachable_at_ && *unreachable_at_ >= it.sent_at &&
                                *unreachable_at_ >= last_answer;
    if (is_unreachable)
    {
        return silence_class::gone;
    }
    return has_late_answer ? silence_class::slow : silence_class::unknown;
}

bool full_server::is_probably_lost(const sent_request& it,
                                   unsigned slots,
                                   time_point now) const
{
    if (now - it.sent_at < overdue_after(it.expected))
    {
        return false;
    }
    return answers_to_later(it.sent_at) >= options_.later_answers ||
           classify(it, slots) == silence_class::gone;
}

silence_class
full_server::note_silence(const sent_request& it, unsigned slots, time_point now)
{
    const silence_class made = classify(it, slots);
    if (made != silence_class::full)
    {
        return made;
    }
    const unsigned before = bound(slots, now);
    full_at_ = now;
    lowered_to_ = std::max({1U, slots, std::min(before, it.load)});
    return made;
}

} // namespace camphorrock
