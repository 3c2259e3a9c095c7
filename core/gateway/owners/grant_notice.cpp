#include "core/gateway/owners/grant_notice.hpp"

#include <algorithm>

namespace camphorrock
{

std::set<owner_incarnation> owners_of(const key_assignment& assignment)
{
    std::set<owner_incarnation> owners;
    for (const service_key_ranges& row : assignment.services)
    {
        for (const assigned_key_range& it : row.key_ranges)
        {
            owners.insert({it.owner, it.incarnation});
        }
    }
    return owners;
}

void grant_notice::begin(epoch at)
{
    at_ = at;
    accepted_by_.clear();
}

void grant_notice::end()
{
    at_.reset();
    accepted_by_.clear();
}

void grant_notice::accepted(const owner_incarnation& by, epoch at)
{
    if (at_ && at >= *at_)
    {
        accepted_by_.insert(by);
    }
}

bool grant_notice::is_complete(const std::set<owner_incarnation>& owners) const
{
    const auto accepted = std::count_if(owners.begin(),
                                        owners.end(),
                                        [this](const owner_incarnation& it)
                                        { return accepted_by_.contains(it); });
    return at_ && static_cast<std::size_t>(accepted) >= notice_quorum(owners.size());
}

notice_check::notice_check(const key_assignment& record)
{
    for (const service_key_ranges& row : record.services)
    {
        for (const assigned_key_range& it : row.key_ranges)
        {
            owners_[{it.owner, it.incarnation}].push_back({row.service, it, {}});
        }
    }
}

void notice_check::accepted(const service_name& service,
                            const assigned_key_range& granted,
                            time_point sent_at)
{
    auto found = owners_.find({granted.owner, granted.incarnation});
    if (found == owners_.end())
    {
        return;
    }
    for (renewed_range& it : found->second)
    {
        const bool is_same = it.service == service && it.range.keys == granted.keys &&
                             it.range.grant_epoch == granted.grant_epoch;
        if (is_same)
        {
            it.sent_at.push_back(sent_at);
        }
    }
}

bool notice_check::is_renewed(const std::vector<renewed_range>& ranges,
                              time_point from,
                              time_point to)
{
    const auto is_within = [&](time_point at)
    {
        return from <= at && at <= to;
    };
    return std::all_of(
        ranges.begin(),
        ranges.end(),
        [&](const renewed_range& it)
        { return std::any_of(it.sent_at.begin(), it.sent_at.end(), is_within); });
}

bool notice_check::excludes_notice(time_point orders_end,
                                   const server_directory& servers,
                                   time_point now) const
{
    std::size_t without_notice = 0;
    for (const auto& [owner, ranges] : owners_)
    {
        const known_server* known = servers.find(owner.id);
        const bool has_restarted =
            known != nullptr && known->entry.incarnation != owner.incarnation;
        const bool is_proved =
            !has_restarted && is_renewed(ranges, orders_end, now - registration_time);
        without_notice += is_proved ? 1 : 0;
    }
    return !owners_.empty() && without_notice >= exclusion_quorum(owners_.size());
}

} // namespace camphorrock
