#include "core/gateway/admission/priority_admission.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// The most requests that a priority is owed, and the most that it has had beyond its
// least share: the credit follows the latest requests only.
constexpr double max_credit = 2;
constexpr double min_credit = -2;
constexpr double credit_of_request = 1;

// Where the service time alone uses the target up, a queue of half of it may be left; see
// latency_limit().
constexpr double least_target = 1.5; // in service times

constexpr double min_work = 0.05;
constexpr double max_work = 20;

duration times(duration span, double factor)
{
    return duration(
        static_cast<duration::rep>(static_cast<double>(span.count()) * factor));
}

// The expected queueing time of a request behind `ahead` others.
duration queueing_time(const server_choice& to, unsigned ahead)
{
    const duration::rep slots = std::max(1U, to.slots);
    const duration::rep waiting = std::max<duration::rep>(0, ahead + 1 - slots);
    return to.expected_service * waiting / slots;
}

bool is_late(const missing_room& it)
{
    return it.expected > it.target;
}

// The room of a kind of requests, whose target and work are given, behind `ahead` others.
missing_room
room_behind(const server_choice& to, unsigned ahead, duration target, double work)
{
    missing_room made;
    const duration service = times(to.expected_service, work);
    made.target = std::max(target, times(service, least_target));
    made.expected = service + queueing_time(to, ahead);
    return made;
}

} // namespace

double priority_admission::request_counts::share() const
{
    return requests > 0 ? std::clamp(static_cast<double>(sent) / requests, 0.0, 1.0)
                        : 1.0;
}

std::size_t priority_admission::level_index(unsigned priority)
{
    return std::min<std::size_t>(priority, levels - 1);
}

priority_admission::level& priority_admission::level_of(const admission_request& request)
{
    return levels_.at(level_index(request.priority));
}

bool priority_admission::is_recent(const kind& it, time_point now) const
{
    return now - it.last_seen <= options_.evidence_time;
}

bool priority_admission::has_recent(const level& it, time_point now) const
{
    return std::any_of(it.kinds.begin(),
                       it.kinds.end(),
                       [&](const kind& one) { return is_recent(one, now); });
}

// Replaces the kind that was not seen for longest if there are too many.
priority_admission::kind& priority_admission::kind_of(const admission_request& request,
                                                      time_point now)
{
    std::vector<kind>& kinds = level_of(request).kinds;
    const duration target = request.terms.target;
    auto found = std::find_if(
        kinds.begin(), kinds.end(), [&](const kind& it) { return it.target == target; });
    if (found == kinds.end() && kinds.size() < max_kinds)
    {
        found = kinds.insert(kinds.end(), kind{target, now});
    }
    else if (found == kinds.end())
    {
        found = std::min_element(kinds.begin(),
                                 kinds.end(),
                                 [](const kind& a, const kind& b)
                                 { return a.last_seen < b.last_seen; });
        *found = kind{target, now};
    }
    return *found;
}

std::int64_t priority_admission::slice_index(time_point now) const
{
    return now.time_since_epoch() /
           (options_.evidence_time / static_cast<int>(slice_count));
}

priority_admission::slice& priority_admission::slice_at(level& it, time_point now) const
{
    const std::int64_t index = slice_index(now);
    slice& found = it.slices.at(static_cast<std::size_t>(index) % slice_count);
    if (found.index != index)
    {
        found = slice{index, 0, 0};
    }
    return found;
}

priority_admission::request_counts priority_admission::counts_of(const level& it,
                                                                 time_point now) const
{
    const std::int64_t oldest =
        slice_index(now) - static_cast<std::int64_t>(slice_count) + 1;
    request_counts sum;
    for (const slice& one : it.slices)
    {
        const bool is_inside = one.index >= oldest;
        sum.requests += is_inside ? one.requests : 0;
        sum.sent += is_inside ? one.sent : 0;
    }
    return sum;
}

double priority_admission::share_of_all(time_point now) const
{
    request_counts sum;
    for (const level& it : levels_)
    {
        const request_counts one = counts_of(it, now);
        sum.requests += one.requests;
        sum.sent += one.sent;
    }
    return sum.share();
}

double priority_admission::sent_share(unsigned priority, time_point now) const
{
    return counts_of(levels_.at(level_index(priority)), now).share();
}

double priority_admission::room_of(const level& it, time_point now) const
{
    return now - it.missed_at <= options_.evidence_time ? it.room : 1;
}

bool priority_admission::is_counted_miss(const admission_request& request,
                                         const server_choice& to,
                                         time_point now)
{
    if (!request.has_one_server)
    {
        return true;
    }
    auto found =
        std::find_if(missed_owners_.begin(),
                     missed_owners_.end(),
                     [&](const missed_owner& it) { return it.server == to.server; });
    if (found != missed_owners_.end() && now - found->at < options_.owner_miss_interval)
    {
        return false;
    }
    if (found == missed_owners_.end() && missed_owners_.size() < max_missed_owners)
    {
        missed_owners_.push_back({to.server, now});
        return true;
    }
    if (found == missed_owners_.end())
    {
        found = std::min_element(missed_owners_.begin(),
                                 missed_owners_.end(),
                                 [](const missed_owner& a, const missed_owner& b)
                                 { return a.at < b.at; });
    }
    *found = {to.server, now};
    return true;
}

void priority_admission::note_timeliness(const admission_request& request,
                                         const server_choice& to,
                                         bool is_missed,
                                         time_point now)
{
    level& it = level_of(request);
    if (is_missed && !is_counted_miss(request, to, now))
    {
        return;
    }
    const double step = is_missed ? options_.room_per_miss : -options_.room_per_in_time;
    it.room = std::clamp(room_of(it, now) + step, 1.0, options_.max_room);
    it.missed_at = is_missed ? now : it.missed_at;
}

void priority_admission::note_sent(const admission_request& request, time_point now)
{
    kind_of(request, now).last_seen = now;
    level& it = level_of(request);
    slice& current = slice_at(it, now);
    ++current.requests;
    ++current.sent;
    it.credit = std::max(min_credit,
                         it.credit + options_.least_share * share_of_all(now) -
                             credit_of_request);
}

void priority_admission::note_refused(const admission_request& request,
                                      const server_choice& to,
                                      time_point now)
{
    kind_of(request, now).last_seen = now;
    level& it = level_of(request);
    ++slice_at(it, now).requests;
    it.credit =
        std::min(max_credit, it.credit + options_.least_share * share_of_all(now));
    note_timeliness(request, to, true, now);
}

void priority_admission::note_unserved(const admission_request& request,
                                       const server_choice& to,
                                       time_point now)
{
    level& it = level_of(request);
    --slice_at(it, now).sent;
    it.credit = std::min(max_credit, it.credit + credit_of_request);
    const bool had_free_slot = to.load < to.slots;
    if (!had_free_slot)
    {
        note_timeliness(request, to, true, now);
    }
}

void priority_admission::note_answered(const admission_request& request,
                                       const server_choice& to,
                                       duration elapsed,
                                       time_point now)
{
    if (to.expected_service <= duration::zero())
    {
        return;
    }
    const duration queueing = to.expected_latency - to.expected_service;
    const double sample = static_cast<double>((elapsed - queueing).count()) /
                          static_cast<double>(to.expected_service.count());
    kind& it = kind_of(request, now);
    const bool is_queued = queueing > duration::zero();
    it.answers += is_queued ? 0 : 1;
    const double smoothing = is_queued ? options_.smoothing_of_queued
                                       : std::max(options_.smoothing, 1.0 / it.answers);
    note_timeliness(request, to, elapsed > request.terms.target, now);
    it.work += smoothing * (std::clamp(sample, min_work, max_work) - it.work);
}

// The room that is missing most, of all requests that came lately and are more urgent
// than those of the level `below`.
std::optional<missing_room> priority_admission::find_missing(std::size_t below,
                                                             const server_choice& to,
                                                             time_point now) const
{
    std::optional<missing_room> most;
    for (std::size_t n = 0; n < below; ++n)
    {
        const unsigned ahead =
            to.load + static_cast<unsigned>(room_of(levels_.at(n), now));
        if (ahead < to.slots)
        {
            continue;
        }
        for (const kind& it : levels_.at(n).kinds)
        {
            missing_room room = room_behind(to, ahead, it.target, it.work);
            room.priority = static_cast<unsigned>(n);
            room.requests = ahead - to.load;
            const bool is_most = is_recent(it, now) && is_late(room) &&
                                 (!most || room.time_until() > most->time_until());
            most = is_most ? room : most;
        }
    }
    return most;
}

bool priority_admission::may_be_late(const admission_request& request,
                                     const server_choice& to,
                                     time_point now) const
{
    const std::size_t own = level_index(request.priority);
    const bool is_sent_nearly_always =
        sent_share(request.priority, now) >= options_.share_to_be_late;
    if (request.has_one_server || !is_sent_nearly_always)
    {
        return false;
    }
    bool has_others = false;
    for (std::size_t n = 0; n < levels; ++n)
    {
        const bool is_other = n != own && has_recent(levels_.at(n), now);
        if (is_other && n < own)
        {
            return false;
        }
        has_others = has_others || is_other;
        for (const kind& it : levels_.at(n).kinds)
        {
            const bool is_own = n == own && it.target == request.terms.target;
            const bool becomes_late =
                !is_late(room_behind(to, to.load, it.target, it.work)) &&
                is_late(room_behind(to, to.load + 1, it.target, it.work));
            if (!is_own && is_recent(it, now) && becomes_late)
            {
                return false;
            }
        }
    }
    return has_others;
}

admission_limit priority_admission::limit_of(const admission_request& request,
                                             const server_choice& to,
                                             time_point now) const
{
    admission_limit made;
    made.longest = latency_limit(to, request.terms);
    const std::size_t own = level_index(request.priority);
    const bool is_owed = levels_.at(own).credit >= credit_of_request;
    const std::optional<missing_room> missing =
        is_owed ? std::nullopt : find_missing(own, to, now);
    if (missing)
    {
        const duration longest = to.expected_latency - missing->time_until();
        if (longest < made.longest)
        {
            made.longest = longest;
            made.missing = missing;
        }
        return made;
    }
    if (!is_owed && may_be_late(request, to, now))
    {
        made.longest = request.terms.time_left;
    }
    return made;
}

} // namespace camphorrock
