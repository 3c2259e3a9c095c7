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

// Rounded down, so that a grant that echoes the reading never lasts longer for it.
server_clock reading_of(time_point now)
{
    return {std::chrono::floor<milliseconds>(now.time_since_epoch())};
}

time_point time_of(server_clock reading)
{
    return time_point(reading.value);
}

key_hash after(key_hash at)
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
        if (grant_one(it, as_of + ttl, now))
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
        if (revoke_one(it, now))
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
    const segment* found = find(at);
    if (!found || found->highest < since)
    {
        return guard_verdict::no_grant;
    }
    if (since < found->highest)
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
    const segment* found = find(at);
    bool is_owner = found && check(at, found->highest, now) == guard_verdict::accepted;
    return is_owner ? std::optional(found->highest) : std::nullopt;
}

// A partition is granted as a whole: where a part of it was revoked or belongs to a
// higher epoch, the sender does not know the present partitions.
bool grant_guard::grant_one(const granted_partition& partition,
                            time_point lapses_at,
                            time_point now)
{
    time_point lapses_first = time_point::max();
    bool is_covered = false;
    for (auto it = first_touched(partition.range); touches(it, partition.range); ++it)
    {
        const segment& old = it->second;
        bool is_same = old.highest == partition.since;
        if (partition.since < old.highest || (is_same && old.is_revoked))
        {
            return false;
        }
        lapses_first = std::min(lapses_first, is_same ? old.lapses_at : lapses_at);
        is_covered =
            it->first <= partition.range.first && partition.range.last <= old.last;
    }
    if (!make_room(now))
    {
        return false;
    }
    // A reordered, older renewal does not shorten a grant that covers the partition.
    time_point lapses = is_covered ? std::max(lapses_at, lapses_first) : lapses_at;
    time_point forget_at = std::max(lapses, now + options_.grant_ttl);
    replace(partition.range,
            {partition.range.last, partition.since, lapses, forget_at, false});
    return true;
}

bool grant_guard::revoke_one(const granted_partition& partition, time_point now)
{
    if (!make_room(now))
    {
        return false;
    }
    segment revoked{
        partition.range.last, partition.since, now, now + options_.grant_ttl, true};
    std::map<key_hash, segment> higher;
    for (auto it = first_touched(partition.range); touches(it, partition.range); ++it)
    {
        if (partition.since < it->second.highest)
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

// Highest epochs are kept as long as there is room for them.
bool grant_guard::make_room(time_point now)
{
    if (segments_.size() >= options_.max_partitions)
    {
        std::erase_if(segments_,
                      [&](const auto& it) { return it.second.forget_at <= now; });
    }
    return segments_.size() < options_.max_partitions;
}

grant_guard::segment_map::iterator grant_guard::first_touched(const hash_range& range)
{
    auto it = segments_.upper_bound(range.first);
    if (it != segments_.begin() && range.first <= std::prev(it)->second.last)
    {
        --it;
    }
    return it;
}

bool grant_guard::touches(segment_map::iterator it, const hash_range& range) const
{
    return it != segments_.end() && it->first <= range.last;
}

void grant_guard::cut_at(key_hash first)
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

void grant_guard::replace(const hash_range& range, const segment& with)
{
    cut_at(range.first);
    if (range.last != hash_range().last)
    {
        cut_at(after(range.last));
    }
    segments_.erase(segments_.lower_bound(range.first),
                    segments_.upper_bound(range.last));
    segments_.emplace(range.first, with);
}

const grant_guard::segment* grant_guard::find(key_hash at) const
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
