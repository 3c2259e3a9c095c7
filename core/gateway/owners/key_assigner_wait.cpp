// The part of key_assigner that tells for what keys wait.

#include "core/base/enum_names.hpp"
#include "core/gateway/owners/key_assigner.hpp"

#include <algorithm>
#include <map>

namespace camphorrock
{
namespace
{

constexpr enum_names<key_wait, 6> waits{{{
    {key_wait::predecessor_grant, "predecessor_grant"},
    {key_wait::predecessor_unanswered, "predecessor_unanswered"},
    {key_wait::own_grant, "own_grant"},
    {key_wait::own_unanswered, "own_unanswered"},
    {key_wait::release, "release"},
    {key_wait::record, "record"},
}}};

} // namespace

std::string_view name_of(key_wait value)
{
    return waits.name(value);
}

// Empty if the owner is to keep the range and answers.
std::optional<key_wait> key_assigner::wait_of(const range_state& it,
                                              const assigner_view& view,
                                              time_point now) const
{
    const known_server* owner = view.servers->find(it.range.owner);
    const bool is_known = is_same_incarnation(owner, it.range.incarnation);
    // Ranges of a drained data centre that only wait for their turn are served.
    const bool is_leaving =
        is_known && (owner->is_leaving(now) ||
                     (owner->is_evacuated() && !is_freed_by_release(it, now)));
    if (!it.target && is_known && !is_leaving && !it.is_unresponsive)
    {
        return std::nullopt;
    }
    if (it.target && may_reassign(it, now))
    {
        return key_wait::record;
    }
    const bool is_releasing =
        it.target && it.is_release_sent && it.order && !it.is_unresponsive;
    if (is_releasing)
    {
        return key_wait::release;
    }
    const bool is_only_unanswered = it.is_released || (is_leaving && !it.target);
    if (is_only_unanswered && !it.is_unresponsive)
    {
        const bool is_own =
            it.own_unanswered_grants_end() > it.predecessor_unanswered_end;
        return is_own ? key_wait::own_unanswered : key_wait::predecessor_unanswered;
    }
    const bool is_own = it.latest_grant_end > it.predecessor_grant_end;
    return is_own ? key_wait::own_grant : key_wait::predecessor_grant;
}

time_point key_assigner::end_of(key_wait reason, const range_state& it)
{
    switch (reason)
    {
    case key_wait::predecessor_grant:
        return it.predecessor_grant_end;
    case key_wait::predecessor_unanswered:
        return it.predecessor_unanswered_end;
    case key_wait::own_grant:
        return it.latest_grant_end;
    case key_wait::own_unanswered:
        return it.own_unanswered_grants_end();
    case key_wait::release:
    case key_wait::record:
        break;
    }
    return {};
}

std::vector<waiting_keys> key_assigner::waiting(const assigner_view& view,
                                                time_point now) const
{
    std::vector<waiting_keys> all;
    for (const keyed_service& row : services_)
    {
        std::map<key_wait, waiting_keys> of_service;
        for (const range_state& it : row.key_ranges)
        {
            const std::optional<key_wait> reason = wait_of(it, view, now);
            if (!reason)
            {
                continue;
            }
            waiting_keys& sum = of_service[*reason];
            const duration left = std::max(duration::zero(), end_of(*reason, it) - now);
            if (sum.ranges == 0 || left > sum.longest_left)
            {
                sum.longest = it.range;
                sum.longest_left = left;
            }
            ++sum.ranges;
            sum.keys += it.range.keys.width();
        }
        for (auto& [reason, sum] : of_service)
        {
            sum.service = row.name;
            sum.reason = reason;
            all.push_back(sum);
        }
    }
    return all;
}

} // namespace camphorrock
