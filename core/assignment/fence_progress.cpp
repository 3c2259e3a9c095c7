#include "core/assignment/fence_progress.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr std::size_t max_dated_versions = 64;

} // namespace

void fence_progress::start(const shard_record& record, time_point now)
{
    voters_ = record.voters;
    previous_voters_ = record.previous_voters;
    add(stored_, record.version, now);
    std::erase_if(acknowledged_,
                  [&](const auto& it)
                  {
                      auto all = all_voters(record);
                      return std::none_of(all.begin(),
                                          all.end(),
                                          [&](const voter_entry& voter)
                                          { return voter.id == it.first; });
                  });
    update_fenced(now);
}

void fence_progress::acknowledged(const instance_id& voter,
                                  epoch version,
                                  duration fenced_for,
                                  time_point now)
{
    acknowledgement& highest = acknowledged_[voter];
    if (highest.version < version)
    {
        duration drift = with_drift(fenced_for, options_) - fenced_for;
        highest = {version, now - std::max(fenced_for - drift, duration::zero())};
    }
    update_fenced(now);
}

epoch fence_progress::barrier(time_point now, duration extra) const
{
    duration lapse = with_drift(options_.authority_ttl, options_) + extra;
    duration limit = with_drift(options_.max_store_read_age, options_);
    return std::max(highest_by(fenced_, now - lapse),
                    highest_by(stored_, now - limit - lapse));
}

bool fence_progress::is_fenced(epoch version, time_point now) const
{
    duration limit = with_drift(options_.max_store_read_age, options_);
    return version <=
           std::max(highest_by(fenced_, now), highest_by(stored_, now - limit));
}

epoch fence_progress::acknowledged_by(const instance_id& voter) const
{
    auto it = acknowledged_.find(voter);
    return it == acknowledged_.end() ? epoch{} : it->second.version;
}

// The highest version that majorities of both sets of voters acknowledged, and the time
// by which they had done so.
fence_progress::dated_version fence_progress::highest_joint_fence() const
{
    dated_version highest{};
    for (const auto& [voter, last] : acknowledged_)
    {
        std::set<instance_id> acknowledging;
        time_point by = last.at;
        for (const auto& [other, entry] : acknowledged_)
        {
            if (last.version <= entry.version)
            {
                acknowledging.insert(other);
                by = std::max(by, entry.at);
            }
        }
        bool is_higher = highest.version < last.version;
        if (is_higher && is_joint_majority(voters_, previous_voters_, acknowledging))
        {
            highest = {last.version, by};
        }
    }
    return highest;
}

void fence_progress::update_fenced(time_point now)
{
    dated_version joint = highest_joint_fence();
    add(fenced_, joint.version, std::min(joint.at, now));
}

// A full list replaces its last entry, so that it keeps the oldest entries, which become
// effective first, and the newest.
void fence_progress::add(std::deque<dated_version>& list, epoch version, time_point now)
{
    epoch highest = list.empty() ? epoch{} : list.back().version;
    if (version <= highest)
    {
        return;
    }
    if (list.size() >= max_dated_versions)
    {
        list.pop_back();
    }
    list.push_back({version, now});
    duration longest = with_drift(options_.max_store_read_age, options_) +
                       with_drift(options_.authority_ttl, options_) +
                       with_drift(options_.max_request_time, options_);
    while (list.size() > 1 && list[1].at + longest <= now)
    {
        list.pop_front();
    }
}

epoch fence_progress::highest_by(const std::deque<dated_version>& list, time_point by)
{
    epoch highest;
    for (const dated_version& it : list)
    {
        if (it.at <= by)
        {
            highest = std::max(highest, it.version);
        }
    }
    return highest;
}

} // namespace camphorrock
