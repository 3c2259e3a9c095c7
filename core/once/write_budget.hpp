#pragma once

// When the gates of one router may write to their journals: a token bucket that they
// share. An idle budget gives a turn at once; a busy one gives turns in the order in
// which the gates asked, and what waits meanwhile goes into one larger batch.
//
//     write_budget budget(options);
//     budget.share(200, 4);                        // a quarter of 200 writes a second
//     write_turn turn = budget.reserve(now);       // a gate asks once for each batch
//     ... write at turn.soonest, or at turn.nominal where nobody waits for the batch
//
// The bucket is kept as virtual scheduling: each turn has a nominal time, at least one
// interval after that of the turn before and not before it was asked for. A batch may be
// written up to burst_span before its nominal time.
//
// What holds, for turns that are used within [soonest, nominal] or when they are given:
//   - in any span there are at most 1 + (span + burst_span) / interval writes;
//   - a turn is as early as that allows, unless one was given back out of order;
//   - of n gates that hold one turn each at most, none waits longer than n intervals for
//     its nominal time, once writes that did not wait are paid.
//
// O(1); no memory that grows.

#include "core/base/time.hpp"

#include <algorithm>
#include <cstddef>

namespace camphorrock
{

struct write_budget_options
{
    duration burst_span = milliseconds(100); // of unused budget that is kept
};

// The right to write one batch.
struct write_turn
{
    time_point soonest; // where somebody waits for it
    time_point nominal; // where nobody does
    duration cost{};

    bool operator==(const write_turn&) const = default;
};

class write_budget
{
public:
    explicit write_budget(write_budget_options options = {}) : options_(options) {}

    // `writers` routers share the fleet's budget equally. Turns given before keep their
    // times.
    void share(unsigned fleet_writes_per_second, std::size_t writers)
    {
        duration all =
            seconds(1) * static_cast<std::int64_t>(std::max<std::size_t>(writers, 1));
        interval_ = all / std::max(fleet_writes_per_second, 1U);
    }

    write_turn reserve(time_point now)
    {
        nominal_ = std::max(now, nominal_ + interval_);
        return {nominal_ - options_.burst_span, nominal_, interval_};
    }

    // A write that cannot wait: it is made now, and the turns after it come later.
    void spend(time_point now)
    {
        reserve(now);
    }

    // The turn will not be used. Lost where another was given since, whose time counts on
    // it.
    void give_back(const write_turn& turn)
    {
        if (turn.nominal == nominal_)
        {
            nominal_ -= turn.cost;
        }
    }

    // Between two turns while the budget is used up.
    duration interval() const
    {
        return interval_;
    }

private:
    write_budget_options options_;
    duration interval_ = milliseconds(20);
    time_point nominal_{}; // of the last turn
};

} // namespace camphorrock
