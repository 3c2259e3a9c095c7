#pragma once

// A token bucket that limits the rate at which the gates of one router write to their
// journals. While the budget is unused, a reservation can be used at once. While it is
// used up, reservations are served in the order in which the gates make them, and entries
// that arrive meanwhile go into one larger batch.
//
//     write_budget budget(options);
//     budget.set_rate(200, 4);                    // a quarter of 200 writes a second
//     write_reservation it = budget.reserve(now); // one for each batch
//     ... write at it.earliest, or at it.nominal if nothing waits for the batch
//
// The bucket is implemented by virtual scheduling: the nominal time of a reservation is
// at least one interval after that of the previous one, and not before it was requested.
// A batch may be written up to burst_span before its nominal time.
//
// If each reservation is used within [earliest, nominal] or at the time it is made:
//   - any span contains at most 1 + (span + burst_span) / interval writes;
//   - a reservation is as early as that bound allows, unless one was cancelled out of
//     order;
//   - if each of n gates holds at most one reservation, none waits longer than n
//     intervals for its nominal time, once writes made by spend() have been paid for.
//
// All operations are O(1), and memory is constant.

#include "core/base/time.hpp"

#include <algorithm>
#include <cstddef>

namespace camphorrock
{

struct write_budget_options
{
    duration burst_span = milliseconds(100); // unused budget accumulates up to this span
};

// Permission to write one batch.
struct write_reservation
{
    time_point earliest; // when to write the batch if something waits for it
    time_point nominal;  // when to write it otherwise
    duration cost{};     // the interval in force when it was made; for cancel()

    bool operator==(const write_reservation&) const = default;
};

class write_budget
{
public:
    explicit write_budget(write_budget_options options = {}) : options_(options) {}

    // `writers` routers divide the fleet's rate equally; 0 counts as 1. Existing
    // reservations keep their times.
    void set_rate(unsigned fleet_writes_per_second, std::size_t writers)
    {
        duration writer_seconds =
            seconds(1) * static_cast<std::int64_t>(std::max<std::size_t>(writers, 1));
        interval_ = writer_seconds / std::max(fleet_writes_per_second, 1U);
    }

    write_reservation reserve(time_point now)
    {
        last_nominal_ = std::max(now, last_nominal_ + interval_);
        return {last_nominal_ - options_.burst_span, last_nominal_, interval_};
    }

    // Accounts for a write that is made now without a reservation. Later reservations are
    // delayed by one interval.
    void spend(time_point now)
    {
        reserve(now);
    }

    // The reservation will not be used. Its interval is returned only if no reservation
    // was made after it; otherwise the interval is lost, because later times build on it.
    void cancel(const write_reservation& reservation)
    {
        if (reservation.nominal == last_nominal_)
        {
            last_nominal_ -= reservation.cost;
        }
    }

    // The time between two nominal times while the budget is used up.
    duration interval() const
    {
        return interval_;
    }

private:
    write_budget_options options_;
    duration interval_ = milliseconds(20);
    time_point last_nominal_{}; // of the last reservation
};

} // namespace camphorrock
