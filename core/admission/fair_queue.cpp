#include "core/admission/fair_queue.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr std::size_t min_sweep_size = 64;

} // namespace

fair_queue::fair_queue(fair_queue_options options)
    : options_(options), next_sweep_size_(min_sweep_size)
{
}

fair_position fair_queue::next_position(const caller_name& caller, time_point now) const
{
    fair_position at;
    at.start_tag = now;
    at.sequence = next_sequence_;
    const auto it = callers_.find(caller);
    if (it != callers_.end())
    {
        at.start_tag = std::max(now, it->second.virtual_clock - options_.burst);
    }
    return at;
}

fair_position fair_queue::push(
    ticket id, const caller_name& caller, duration cost, double slots, time_point now)
{
    erase_idle_callers(now);
    fair_position at = next_position(caller, now);
    caller_entry& entry = callers_[caller];
    waiting_callers_ += entry.waiting++ == 0 ? 1 : 0;
    const auto competing_callers = static_cast<double>(waiting_callers_);
    const time_point old_clock = std::max(now, entry.virtual_clock);
    const time_point latest = now + options_.max_lead;
    const double charge_us =
        static_cast<double>(cost.count()) * competing_callers / slots;
    const duration charge(static_cast<duration::rep>(charge_us));
    entry.virtual_clock = std::max(old_clock, std::min(latest, old_clock + charge));
    at.id = id;
    at.cost = cost;
    at.charge = entry.virtual_clock - old_clock;
    ++next_sequence_;
    order_.insert(at);
    work_ += cost;
    return at;
}

void fair_queue::start(const fair_position& at, const caller_name& caller)
{
    remove(at, callers_.find(caller)->second);
}

void fair_queue::cancel(const fair_position& at, const caller_name& caller)
{
    caller_entry& entry = callers_.find(caller)->second;
    entry.virtual_clock -= at.charge;
    remove(at, entry);
}

void fair_queue::remove(const fair_position& at, caller_entry& caller)
{
    waiting_callers_ -= --caller.waiting == 0 ? 1 : 0;
    work_ -= at.cost;
    order_.erase(at);
}

duration fair_queue::work_before(const fair_position& at, duration stop_above) const
{
    duration sum{};
    for (const fair_position& it : order_)
    {
        if (!(it < at) || sum > stop_above)
        {
            break;
        }
        sum += it.cost;
    }
    return sum;
}

// A clock that is not ahead of the time has no effect on later requests.
void fair_queue::erase_idle_callers(time_point now)
{
    if (callers_.size() < next_sweep_size_)
    {
        return;
    }
    std::erase_if(callers_,
                  [&](const auto& entry) {
                      return entry.second.waiting == 0 &&
                             entry.second.virtual_clock <= now;
                  });
    next_sweep_size_ = std::max(min_sweep_size, 2 * callers_.size());
}

} // namespace camphorrock
