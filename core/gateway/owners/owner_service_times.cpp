#include "core/gateway/owners/owner_service_times.hpp"

#include <algorithm>
#include <cmath>

namespace camphorrock
{
namespace
{

double to_us(duration span)
{
    return std::chrono::duration<double, std::micro>(span).count();
}

} // namespace

double owner_service_times::remaining_weight(time_point from, time_point now) const
{
    const duration age = std::max<duration>(now - from, duration::zero());
    return std::exp2(-to_us(age) / to_us(options_.half_life));
}

void owner_service_times::add(const server_service_time& measured, time_point now)
{
    const bool is_new = !rows_.contains(measured.server);
    const bool is_ignored =
        measured.answers == 0 || (is_new && rows_.size() >= options_.max_owners);
    if (is_ignored)
    {
        return;
    }
    row& it = rows_[measured.server];
    const double weight = remaining_weight(it.at, now);
    it.answers = it.answers * weight + measured.answers;
    it.total_us = it.total_us * weight + to_us(measured.total);
    it.at = now;
}

duration owner_service_times::estimate(const server_id& server,
                                       duration prior,
                                       time_point now) const
{
    const auto it = rows_.find(tag_of(server));
    if (it == rows_.end())
    {
        return prior;
    }
    const double weight = remaining_weight(it->second.at, now);
    const double answers = it->second.answers * weight + options_.prior_answers;
    const double total_us =
        it->second.total_us * weight + options_.prior_answers * to_us(prior);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::micro>(total_us / answers));
}

void owner_service_times::expire(time_point now)
{
    std::erase_if(
        rows_, [&](const auto& it) { return now - it.second.at > options_.retention; });
}

} // namespace camphorrock
