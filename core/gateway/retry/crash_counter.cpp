#include "core/gateway/retry/crash_counter.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr unsigned max_crashes_of_one_moment = 2;

bool is_same_request(const request_fingerprint& a, const request_fingerprint& b)
{
    return a.whole == b.whole || a.path == b.path;
}

} // namespace

trial_answer crash_counter::request(const trial_request& trial, time_point now)
{
    adopt(trial.request.whole, trial.known.whole, now);
    adopt(trial.request.path, trial.known.path, now);
    const unsigned crashes =
        std::max(crashes_of(trial.request.whole), crashes_of(trial.request.path));
    if (crashes == 0)
    {
        return trial_answer::cleared;
    }
    if (crashes >= crashes_to_condemn)
    {
        return trial_answer::condemned;
    }
    std::erase_if(trials_, [&](const auto& it) { return now >= it.second.ends_at; });
    trials_.erase(trial.id); // the request was repeated, as its reply was lost
    for (const auto& [id, it] : trials_)
    {
        if (is_same_request(it.request, trial.request))
        {
            return trial_answer::wait;
        }
    }
    const bool is_server_used =
        std::any_of(trials_.begin(),
                    trials_.end(),
                    [&](const auto& it) { return it.second.server == trial.server; });
    if (is_server_used)
    {
        return trial_answer::other_server;
    }
    trials_[trial.id] = {trial.request, trial.server, now + trial.lifetime};
    return trial_answer::run;
}

void crash_counter::report(const trial_report& report, time_point now)
{
    const bool was_permitted = trials_.erase(report.id) > 0;
    for (const std::uint64_t it : report.request.both())
    {
        if (report.end == trial_end::crashed)
        {
            count_crash(it, report, was_permitted, now);
        }
        if (report.end == trial_end::completed)
        {
            if (crashes_of(it) > 0)
            {
                changed_.insert(it);
            }
            learn_cleared(it, now);
        }
    }
}

void crash_counter::end_trial(trial_id id)
{
    trials_.erase(id);
}

unsigned crash_counter::crashes_of(std::uint64_t fingerprint) const
{
    const auto found = rows_.find(fingerprint);
    return found == rows_.end() ? 0 : found->second.crashes;
}

void crash_counter::adopt(std::uint64_t fingerprint, unsigned crashes, time_point now)
{
    const auto found = rows_.find(fingerprint);
    const bool is_cleared = found != rows_.end() && found->second.crashes == 0;
    if (crashes == 0 || is_cleared)
    {
        return;
    }
    row& it = row_of(fingerprint);
    if (crashes > it.crashes)
    {
        it = {crashes, now, {}, now, 0};
        changed_.insert(fingerprint);
    }
}

void crash_counter::count_crash(std::uint64_t fingerprint,
                                const trial_report& report,
                                bool was_permitted,
                                time_point now)
{
    row& it = row_of(fingerprint);
    const unsigned counted = crashes_after(it, report, was_permitted, now);
    const unsigned limit = may_condemn(it, fingerprint, report.request)
                               ? counted
                               : std::max(it.crashes, crashes_to_condemn - 1);
    const unsigned crashes = std::min(counted, limit);
    const bool is_adopted = it.crashes > 0 && it.last_crashed.str().empty();
    if (crashes == it.crashes && !is_adopted)
    {
        return;
    }
    it.crashes = crashes;
    it.last_crash_at = now - report.ended_ago;
    it.last_crashed = report.server;
    it.changed_at = now;
    it.last_request = report.request.whole;
    changed_.insert(fingerprint);
}

bool crash_counter::may_condemn(const row& it,
                                std::uint64_t fingerprint,
                                const request_fingerprint& request)
{
    return fingerprint == request.whole || it.last_request != request.whole;
}

unsigned crash_counter::crashes_after(const row& it,
                                      const trial_report& report,
                                      bool was_permitted,
                                      time_point now) const
{
    // Ages in reports are a few milliseconds out, by the time on the way.
    const time_point next_moment = it.last_crash_at + options_.min_crash_gap;
    const bool has_started_later = now - report.started_ago >= next_moment;
    const bool has_ended_later = now - report.ended_ago >= next_moment;
    if (it.crashes == 0)
    {
        return 1;
    }
    // It was told by another attempt, or by a gateway that knew of it before.
    const bool is_known = report.server == it.last_crashed ||
                          (it.last_crashed.str().empty() && !was_permitted);
    if (is_known && !has_started_later)
    {
        return it.crashes;
    }
    if (was_permitted || has_started_later || has_ended_later)
    {
        return it.crashes + 1;
    }
    return std::max(it.crashes, max_crashes_of_one_moment);
}

void crash_counter::learn_cleared(std::uint64_t fingerprint, time_point now)
{
    const auto found = rows_.find(fingerprint);
    if (found == rows_.end())
    {
        return;
    }
    found->second.crashes = 0;
    found->second.changed_at = now;
}

crash_counter::row& crash_counter::row_of(std::uint64_t fingerprint)
{
    const bool is_full =
        rows_.size() >= options_.max_rows && !rows_.contains(fingerprint);
    if (is_full)
    {
        rows_.erase(std::min_element(rows_.begin(),
                                     rows_.end(),
                                     [](const auto& a, const auto& b) {
                                         return a.second.changed_at < b.second.changed_at;
                                     }));
    }
    return rows_[fingerprint];
}

std::vector<suspect_row> crash_counter::take_changes()
{
    std::vector<suspect_row> made;
    for (const std::uint64_t it : std::exchange(changed_, {}))
    {
        made.push_back({it, crashes_of(it)});
    }
    return made;
}

duration crash_counter::retention_of(const row& it) const
{
    if (it.crashes == 0)
    {
        return options_.cleared_retention;
    }
    return it.crashes >= crashes_to_condemn ? options_.verdict_retention
                                            : options_.suspect_retention;
}

void crash_counter::expire(time_point now)
{
    std::erase_if(rows_,
                  [&](const auto& it)
                  { return now - it.second.changed_at >= retention_of(it.second); });
    std::erase_if(trials_, [&](const auto& it) { return now >= it.second.ends_at; });
}

} // namespace camphorrock
