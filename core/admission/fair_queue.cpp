#include "core/admission/fair_queue.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr std::size_t min_sweep_rows = 64;

} // namespace

fair_queue::fair_queue(fair_queue_options options)
    : options_(options), sweep_at_(min_sweep_rows)
{
}

fair_position fair_queue::next_position(const caller_name& caller, time_point now) const
{
    fair_position at;
    at.place = now;
    at.sequence = sequence_;
    const auto it = callers_.find(caller);
    if (it != callers_.end())
    {
        at.place = std::max(now, it->second.clock - options_.burst);
    }
    return at;
}

fair_position fair_queue::push(
    ticket id, const caller_name& caller, duration cost, double slots, time_point now)
{
    forget_idle_callers(now);
    fair_position at = next_position(caller, now);
    caller_row& row = callers_[caller];
    waiting_callers_ += row.waiting++ == 0 ? 1 : 0;
    const auto sharers = static_cast<double>(waiting_callers_);
    const time_point start = std::max(now, row.clock);
    const time_point latest = now + options_.max_debt;
    const double share_us = static_cast<double>(cost.count()) * sharers / slots;
    const duration share(static_cast<duration::rep>(share_us));
    row.clock = std::max(start, std::min(latest, start + share));
    at.id = id;
    at.cost = cost;
    at.charge = row.clock - start;
    ++sequence_;
    order_.insert(at);
    work_ += cost;
    return at;
}

void fair_queue::start(const fair_position& at, const caller_name& caller)
{
    remove(at, callers_.find(caller)->second);
}

void fair_queue::erase(const fair_position& at, const caller_name& caller)
{
    caller_row& row = callers_.find(caller)->second;
    row.clock -= at.charge;
    remove(at, row);
}

void fair_queue::remove(const fair_position& at, caller_row& of)
{
    waiting_callers_ -= --of.waiting == 0 ? 1 : 0;
    work_ -= at.cost;
    order_.erase(at);
}

duration fair_queue::work_before(const fair_position& at, duration enough) const
{
    duration sum{};
    for (const fair_position& it : order_)
    {
        if (!(it < at) || sum > enough)
        {
            break;
        }
        sum += it.cost;
    }
    return sum;
}

// A clock that is not ahead of the time says nothing.
void fair_queue::forget_idle_callers(time_point now)
{
    if (callers_.size() < sweep_at_)
    {
        return;
    }
    std::erase_if(callers_,
                  [&](const auto& row)
                  { return row.second.waiting == 0 && row.second.clock <= now; });
    sweep_at_ = std::max(min_sweep_rows, 2 * callers_.size());
}

} // namespace camphorrock
