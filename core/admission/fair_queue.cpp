#include "core/admission/fair_queue.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr std::size_t min_sweep_rows = 64;

} // namespace

fair_position fair_queue::next_position(const caller_name& caller, duration cost) const
{
    const auto it = next_tag_us_.find(caller);
    const std::int64_t own = it == next_tag_us_.end() ? 0 : it->second;
    return {std::max(virtual_time_us_, own), sequence_, ticket{}, cost};
}

fair_position fair_queue::push(ticket id, const caller_name& caller, duration cost)
{
    fair_position at = next_position(caller, cost);
    at.id = id;
    ++sequence_;
    next_tag_us_[caller] = at.tag_us + cost.count();
    order_.insert(at);
    work_ += cost;
    forget_idle_callers();
    return at;
}

void fair_queue::start(const fair_position& at)
{
    virtual_time_us_ = std::max(virtual_time_us_, at.tag_us);
    work_ -= at.cost;
    order_.erase(at);
}

void fair_queue::erase(const fair_position& at, const caller_name& caller)
{
    work_ -= at.cost;
    order_.erase(at);
    const auto it = next_tag_us_.find(caller);
    if (it != next_tag_us_.end())
    {
        it->second = std::max(virtual_time_us_, it->second - at.cost.count());
    }
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

// A caller whose tag the virtual time has passed gets the virtual time anyway.
void fair_queue::forget_idle_callers()
{
    if (next_tag_us_.size() < sweep_at_)
    {
        return;
    }
    std::erase_if(next_tag_us_,
                  [&](const auto& row) { return row.second <= virtual_time_us_; });
    sweep_at_ = std::max(min_sweep_rows, 2 * next_tag_us_.size());
}

} // namespace camphorrock
