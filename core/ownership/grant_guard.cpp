#include "core/ownership/grant_guard.hpp"

#include "core/base/enum_names.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr enum_names<guard_verdict, 5> names{{{
    {guard_verdict::accepted, "accepted"},
    {guard_verdict::no_grant, "no-grant"},
    {guard_verdict::lapsed, "lapsed"},
    {guard_verdict::revoked, "revoked"},
    {guard_verdict::stale_epoch, "stale-epoch"},
}}};

// Rounds down, so that rounding never extends a grant that counts from the reading.
server_clock reading_of(time_point now)
{
    return {std::chrono::floor<milliseconds>(now.time_since_epoch())};
}

time_point time_of(server_clock reading)
{
    return time_point(reading.value);
}

key_hash next_hash(key_hash at)
{
    return {at.value + 1};
}

} // namespace

std::string_view name_of(guard_verdict value)
{
    return names.name(value);
}

grant_guard::grant_guard(ownership_options options, time_point started_at)
    : options_(options), started_at_(started_at)
{
}

server_reply grant_guard::grant(const grant_message& message, time_point now)
{
    server_reply reply = read_clock(now);
    time_point as_of = time_of(message.as_of);
    bool is_of_this_process = started_at_ <= as_of && as_of <= now;
    duration ttl = std::min<duration>(message.ttl, options_.grant_ttl);
    if (!is_of_this_process || as_of + ttl <= now)
    {
        return reply;
    }
    for (const granted_partition& it : message.partitions)
    {
        if (grant_partition(it, as_of + ttl, now))
        {
            reply.accepted.push_back(it);
        }
    }
    return reply;
}

server_reply grant_guard::revoke(const revoke_message& message, time_point now)
{
    server_reply reply = read_clock(now);
    for (const granted_partition& it : message.partitions)
    {
        if (revoke_partition(it, now))
        {
            reply.accepted.push_back(it);
        }
    }
    return reply;
}

server_reply grant_guard::read_clock(time_point now) const
{
    return {reading_of(now), {}};
}

guard_verdict grant_guard::check(key_hash at, epoch since, time_point now) const
{
    const segment* found = find_segment(at);
    if (!found || found->highest_epoch < since)
    {
        return guard_verdict::no_grant;
    }
    if (since < found->highest_epoch)
    {
        return guard_verdict::stale_epoch;
    }
    if (found->is_revoked)
    {
        return guard_verdict::revoked;
    }
    return now < found->lapses_at ? guard_verdict::accepted : guard_verdict::lapsed;
}

std::optional<epoch> grant_guard::owner_epoch(key_hash at, time_point now) const
{
    const segment* found = find_segment(at);
    bool is_owner =
        found && check(at, found->highest_epoch, now) == guard_verdict::accepted;
    return is_owner ? std::optional(found->highest_epoch) : std::nullopt;
}

// Grants a partition as a whole or not at all: if a part of it was revoked or has a
// higher epoch, the sender's partitions are out of date.
bool grant_guard::grant_partition(const granted_partition& partition,
                                  time_point lapses_at,
                                  time_point now)
{
    time_point earliest_lapse = time_point::max();
    bool is_covered = false;
    for (auto it = first_overlapping(partition.range); overlaps(it, partition.range);
         ++it)
    {
        const segment& old = it->second;
        bool is_same = old.highest_epoch == partition.since;
        if (partition.since < old.highest_epoch || (is_same && old.is_revoked))
        {
            return false;
        }
        earliest_lapse = std::min(earliest_lapse, is_same ? old.lapses_at : lapses_at);
        is_covered =
            it->first <= partition.range.first && partition.range.last <= old.last;
    }
    if (!make_room(now))
    {
        return false;
    }
    // An older renewal that arrives late does not shorten a grant of the whole partition.
    time_point lapses = is_covered ? std::max(lapses_at, earliest_lapse) : lapses_at;
    time_point forget_at = std::max(lapses, now + options_.grant_ttl);
    replace(partition.range,
            {partition.range.last, partition.since, lapses, forget_at, false});
    return true;
}

bool grant_guard::revoke_partition(const granted_partition& partition, time_point now)
{
    if (!make_room(now))
    {
        return false;
    }
    segment revoked{
        partition.range.last, partition.since, now, now + options_.grant_ttl, true};
    std::map<key_hash, segment> higher;
    for (auto it = first_overlapping(partition.range); overlaps(it, partition.range);
         ++it)
    {
        if (partition.since < it->second.highest_epoch)
        {
            key_hash first = std::max(it->first, partition.range.first);
            segment part = it->second;
            part.last = std::min(part.last, partition.range.last);
            higher.emplace(first, part);
        }
    }
    replace(partition.range, revoked);
    for (const auto& [first, part] : higher)
    {
        replace({first, part.last}, part);
    }
    return true;
}

// Returns whether a segment can be added. Drops segments that can be forgotten only when
// the table is full, so that the highest epochs are kept as long as possible.
bool grant_guard::make_room(time_point now)
{
    if (segments_.size() >= options_.max_partitions)
    {
        std::erase_if(segments_,
                      [&](const auto& it) { return it.second.forget_at <= now; });
    }
    return segments_.size() < options_.max_partitions;
}

grant_guard::segment_map::iterator grant_guard::first_overlapping(const hash_range& range)
{
    auto it = segments_.upper_bound(range.first);
    if (it != segments_.begin() && range.first <= std::prev(it)->second.last)
    {
        --it;
    }
    return it;
}

bool grant_guard::overlaps(segment_map::iterator it, const hash_range& range) const
{
    return it != segments_.end() && it->first <= range.last;
}

void grant_guard::split_at(key_hash first)
{
    auto it = segments_.upper_bound(first);
    if (it == segments_.begin())
    {
        return;
    }
    --it;
    if (it->first == first || it->second.last < first)
    {
        return;
    }
    segment rest = it->second;
    it->second.last = {first.value - 1};
    segments_.emplace(first, rest);
}

void grant_guard::replace(const hash_range& range, const segment& replacement)
{
    split_at(range.first);
    if (range.last != hash_range().last)
    {
        split_at(next_hash(range.last));
    }
    segments_.erase(segments_.lower_bound(range.first),
                    segments_.upper_bound(range.last));
    segments_.emplace(range.first, replacement);
}

const grant_guard::segment* grant_guard::find_segment(key_hash at) const
{
    auto it = segments_.upper_bound(at);
    if (it == segments_.begin())
    {
        return nullptr;
    }
    --it;
    return at <= it->second.last ? &it->second : nullptr;
}

} // namespace camphorrock
